//! Audit trail entries about received lists.

use expect_test::{Expect, expect};
use foxledge_core::{hash::digest_of, time::ClockTime};
use foxledge_members::{ListEffect, ListOptions, ListSource, ListStore};
use foxledge_wire::control::{ListPart, Manifest, ManifestPart};

const KEY: &str = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n";

/// Returns the text of a service whose first `draining` targets drain.
fn service(targets: usize, draining: usize) -> String {
    let mut text = "[[service]]\nname = \"desk\"\naddresses = [\"auction\"]\n".to_owned();
    for target in 0..targets {
        text += &format!(
            "[[service.target]]\nname = \"t{target}\"\naddress = \"10.0.0.{target}:1\"\n\
             incarnation = 1\ndata_centre = \"erie\"\ndraining = {}\n",
            target < draining
        );
    }
    text
}

/// Publishes a list of the key and `text`, and returns the causes of the audit entries.
fn publish(store: &mut ListStore, revision: u64, text: &str) -> String {
    let texts = [KEY, text];
    let parts = texts.iter().enumerate().map(|(number, text)| ManifestPart {
        name: format!("p{number}"),
        digest: digest_of(text.as_bytes()),
    });
    let manifest = Manifest { revision, parts: parts.collect() };
    let parts = texts.iter().map(|text| ListPart {
        digest: digest_of(text.as_bytes()),
        text: text.as_bytes().to_vec(),
    });
    let now = ClockTime::ZERO.after_millis(revision * 10_000);
    let mut effects = store.on_manifest(now, ListSource::Platform, manifest);
    effects.extend(store.on_parts(now, ListSource::Platform, parts.collect()));
    let causes = effects.into_iter().filter_map(|effect| match effect {
        ListEffect::Audit(change) => Some(format!("{:?}: {}\n", change.kind, change.cause)),
        _ => None,
    });
    causes.collect()
}

fn check(store: &mut ListStore, revision: u64, text: &str, causes: Expect) {
    causes.assert_eq(&publish(store, revision, text));
}

#[test]
fn audit_entries_list_the_first_changes() {
    let mut store = ListStore::new(ListOptions::default());
    check(
        &mut store,
        1,
        &service(9, 0),
        expect![[r#"
        ListAccepted: 2 parts, 2 of them fetched; the first list
    "#]],
    );
    check(
        &mut store,
        2,
        &service(9, 1),
        expect![[r#"
        ListAccepted: 2 parts, 1 of them fetched; target desk/t0 changed: draining=false -> draining=true
    "#]],
    );
    check(
        &mut store,
        3,
        &format!("# a comment\n{}", service(9, 1)),
        expect![[r#"
        ListAccepted: 2 parts, 1 of them fetched; no changes
    "#]],
    );
    check(
        &mut store,
        4,
        &service(9, 8),
        expect![[r#"
        ListAccepted: 2 parts, 1 of them fetched; target desk/t1 changed: draining=false -> draining=true; target desk/t2 changed: draining=false -> draining=true; target desk/t3 changed: draining=false -> draining=true; target desk/t4 changed: draining=false -> draining=true; target desk/t5 changed: draining=false -> draining=true; and 2 more
    "#]],
    );
}

// Guards against memory that grows with each refused list until the instance is killed. The
// findings repeat an operator's text of a megabyte, and the audit trail would keep them whole.
#[test]
fn truncates_long_findings_in_audit_entries() {
    let mut store = ListStore::new(ListOptions::default());
    let long = "é".repeat(100_000);
    let text = service(1, 0).replace("10.0.0.0:1", &long);
    let entries = publish(&mut store, 1, &text);
    assert!(entries.contains("; p1:6: service[0].target[0].address: \"éé"), "{entries}");
    assert!(entries.len() < 1000, "{} bytes", entries.len());
}
