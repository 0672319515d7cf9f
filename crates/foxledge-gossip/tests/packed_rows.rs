//! Packing of rows for messages.

use foxledge_flows::rows::{
    BackendRow, ExtensionRow, LimitsRow, ListRow, RemovedRow, RouteRow, RowValue,
};
use foxledge_gossip::packing::{PackedRows, RowPacker};
use proptest::prelude::*;
use prost::Message;

fn any_backend() -> impl Strategy<Value = BackendRow> {
    let names = (prop::sample::select(vec!["", "desk", "intake"]), "[a-c]{0,2}");
    let numbers = (any::<u64>(), any::<u32>(), 0..70_000_u32, 0..5_u32);
    let starts = (any::<u32>(), any::<u64>(), any::<u64>());
    (names, numbers, any::<bool>(), starts).prop_map(
        |((service, data_centre), (number, ip, port, slots), draining, starts)| BackendRow {
            number,
            service: service.to_owned(),
            ip,
            port,
            data_centre,
            slots,
            draining,
            warm_in_ms: starts.0,
            incarnation: starts.1,
            created_revision: starts.2,
        },
    )
}

fn any_value() -> impl Strategy<Value = RowValue> {
    let route = ("[a-z]{0,5}", any::<u32>(), any::<bool>(), any::<u32>()).prop_map(
        |(name, ip, idempotent, aim_ms)| {
            RowValue::Route(RouteRow { name, ip, idempotent, aim_ms, ..RouteRow::default() })
        },
    );
    let limits = (any::<u64>(), any::<u32>())
        .prop_map(|(version, idle_ms)| RowValue::Limits(LimitsRow { version, idle_ms }));
    let removed = (prop::option::of(any_backend()), any::<u32>())
        .prop_map(|(backend, age_ms)| RowValue::Removed(RemovedRow { backend, age_ms }));
    // Kinds that this build knows, and others.
    let extension = (0..9_u32, prop::collection::vec(any::<u8>(), 0..20))
        .prop_map(|(kind, body)| RowValue::Extension(ExtensionRow { kind, body }));
    prop_oneof![extension, route, limits, any_backend().prop_map(RowValue::Backend), removed]
}

/// Generates rows with usual keys, and with any others.
fn any_row() -> impl Strategy<Value = ListRow> {
    (any_value(), "[a-z/0-9-]{0,6}", any::<bool>(), any::<u64>()).prop_map(
        |(value, word, is_usual_key, revision)| {
            let number = match &value {
                RowValue::Backend(backend) => Some(backend.number),
                RowValue::Removed(removed) => {
                    removed.backend.as_ref().map(|backend| backend.number)
                }
                _ => None,
            };
            let key = match number.filter(|_| is_usual_key) {
                Some(number) => format!("{word}{number:x}"),
                None => word,
            };
            ListRow { key, revision, value: Some(value) }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn unpacks_to_same_rows(rows in prop::collection::vec(any_row(), 0..40)) {
        prop_assert_eq!(PackedRows::pack(&rows).unpack(), rows);
    }

    // A page must not exceed the maximum message size: a name is sent once, and counts towards the
    // first row that uses it.
    #[test]
    fn reported_sizes_cover_encoded_message(
        rows in prop::collection::vec(any_row(), 1..40),
        count in 0..40_usize
    ) {
        let mut packer = RowPacker::default();
        let sizes: Vec<_> = rows.iter().map(|row| packer.push(row)).collect();
        let count = count.min(rows.len());
        let reported: usize = sizes[..count].iter().sum();
        let packed = packer.finish(count);
        prop_assert_eq!(packed.clone().unpack(), &rows[..count]);
        // Names of rows that were left out may remain.
        let name_bytes: usize = packed.names.iter().map(|name| name.len() + 2).sum();
        prop_assert!(packed.encoded_len() <= reported + name_bytes);
    }
}

#[test]
fn packing_halves_size_of_typical_rows() {
    let rows: Vec<_> = (0..20)
        .map(|index: u64| {
            let number = 0xa2_1ae3_7400 + index;
            let backend = BackendRow {
                number,
                service: "auction-desk".to_owned(),
                ip: 0x0a01_0203,
                port: 8_123,
                data_centre: "toledo-hall".to_owned(),
                slots: 2,
                draining: false,
                warm_in_ms: 0,
                incarnation: 0,
                created_revision: 0,
            };
            let value = Some(RowValue::Backend(backend));
            ListRow { key: format!("backend/i-{number:x}"), revision: 300 + index, value }
        })
        .collect();
    let plain_bytes: usize = rows.iter().map(|row| row.encoded_len() + 2).sum();
    let packed_bytes = PackedRows::pack(&rows).encoded_len();
    println!("{} bytes a row, {} packed", plain_bytes / 20, packed_bytes / 20);
    assert!(packed_bytes * 2 <= plain_bytes, "{packed_bytes} of {plain_bytes} bytes");
}

// Guards against a message that is too long because it contains the names of a row that it leaves
// out.
#[test]
fn names_of_excluded_rows_are_left_out() {
    let row = |number: u64, service: String| {
        let backend = BackendRow { number, service, ..BackendRow::default() };
        ListRow {
            key: format!("backend/i-{number:x}"),
            revision: number,
            value: Some(RowValue::Backend(backend)),
        }
    };
    let rows = [row(1, "desk".to_owned()), row(2, "x".repeat(4_000)), row(3, "desk".to_owned())];
    let mut packer = RowPacker::default();
    rows.iter().for_each(|row| {
        packer.push(row);
    });
    let packed = packer.finish(1);
    assert_eq!(packed, PackedRows::pack(&rows[..1]));
    assert_eq!(packed.unpack(), rows[..1]);
}
