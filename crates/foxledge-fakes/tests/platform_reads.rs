//! The platform's contract: what one read answers.

use foxledge_core::hash::digest_of;
use foxledge_fakes::{
    harness::{TestPlatform, make_directory},
    platform::{
        orders::{ListedMember, ListedState, PartText, PlatformOrder},
        store::{MAX_VALUE, part_key},
    },
};
use foxledge_wire::control::{
    Manifest, MemberListing, ReadReply, ReadRequest, platform_client::PlatformClient,
};
use prost::Message;
use tokio::runtime::Builder;

struct ReadCase {
    name: &'static str,
    orders: Vec<PlatformOrder>,
    read: ReadRequest,
    expected: ReadReply,
}

#[test]
fn reads_by_table() {
    let small = || vec![part("rules", "a = 1")];
    let other = || vec![part("rules", "a = 2")];
    let whole = "x".repeat(MAX_VALUE);
    let cases = [
        ReadCase {
            name: "a key that was never written",
            orders: vec![],
            read: read("manifest", 0, "r"),
            expected: ReadReply::default(),
        },
        ReadCase {
            name: "the first list",
            orders: vec![publish(small(), 0)],
            read: read("manifest", 0, "r"),
            expected: found(1, manifest(1, &small())),
        },
        ReadCase {
            name: "nothing newer",
            orders: vec![publish(small(), 0)],
            read: read("manifest", 1, "r"),
            expected: unchanged(1),
        },
        ReadCase {
            name: "a part by its digest, with the revision that brought it",
            orders: vec![publish(small(), 0), publish(small(), 0)],
            read: read(&part_key(digest_of(b"a = 1")), 0, "r"),
            expected: found(1, b"a = 1".to_vec()),
        },
        ReadCase {
            name: "a value of 1 MB, whole",
            orders: vec![publish(vec![part("big", &whole)], 0)],
            read: read(&part_key(digest_of(whole.as_bytes())), 0, "r"),
            expected: found(1, whole.clone().into_bytes()),
        },
        ReadCase {
            name: "an empty listing is a value",
            orders: vec![members(&["toledo-1"]), members(&[])],
            read: read("members", 1, "r"),
            expected: found(2, Vec::new()),
        },
        ReadCase {
            name: "an older state after a restart",
            orders: vec![publish(small(), 0), publish(other(), 0), rewind(1)],
            read: read("manifest", 0, "r"),
            expected: found(1, manifest(1, &small())),
        },
        ReadCase {
            name: "an older state is nothing newer",
            orders: vec![publish(small(), 0), publish(other(), 0), rewind(1)],
            read: read("manifest", 2, "r"),
            expected: unchanged(1),
        },
        ReadCase {
            name: "a revision used twice after a restart",
            orders: vec![publish(small(), 0), publish(other(), 0), rewind(1), publish(small(), 0)],
            read: read("manifest", 1, "r"),
            expected: found(2, manifest(2, &small())),
        },
        ReadCase {
            name: "a part that a restart lost",
            orders: vec![publish(small(), 0), publish(other(), 0), rewind(1)],
            read: read(&part_key(digest_of(b"a = 2")), 0, "r"),
            expected: ReadReply::default(),
        },
        ReadCase {
            name: "past a revision that readers have seen",
            orders: vec![publish(small(), 0), publish(other(), 9)],
            read: read("manifest", 8, "r"),
            expected: found(9, manifest(9, &other())),
        },
        ReadCase {
            name: "a reader that is held back",
            orders: vec![publish(small(), 0), hold("late", Some(1)), publish(other(), 0)],
            read: read("manifest", 0, "late"),
            expected: found(1, manifest(1, &small())),
        },
        ReadCase {
            name: "another reader isn't held back",
            orders: vec![publish(small(), 0), hold("late", Some(1)), publish(other(), 0)],
            read: read("manifest", 0, "r"),
            expected: found(2, manifest(2, &other())),
        },
        ReadCase {
            name: "a reader no longer held back",
            orders: vec![
                publish(small(), 0),
                hold("late", Some(1)),
                publish(other(), 0),
                hold("late", None),
            ],
            read: read("manifest", 0, "late"),
            expected: found(2, manifest(2, &other())),
        },
    ];
    let directory = make_directory().expect("directory");
    for case in cases {
        let platform = TestPlatform::start(2000, &directory).expect("platform");
        for order in &case.orders {
            platform.client.order(order).expect(case.name);
        }
        let bytes = case.expected.value.len() as u64;
        let reader = case.read.reader.clone();
        let reply = read_once(&platform, case.read);
        assert!(reply == case.expected, "{}: {:?}", case.name, shown(&reply));
        let report = platform.client.report().expect(case.name);
        assert_eq!((report.readers[&reader].calls, report.readers[&reader].bytes), (1, bytes));
    }
}

#[test]
fn too_large_values_are_refused() {
    let directory = make_directory().expect("directory");
    let platform = TestPlatform::start(2000, &directory).expect("platform");
    let text = "x".repeat(MAX_VALUE + 1);
    let error = platform.client.publish_list(vec![part("big", &text)]).expect_err("too large");
    assert!(format!("{error:#}").contains("part big has 1048577 bytes"), "{error:#}");
    assert_eq!(platform.client.report().expect("report").revision, 0);
}

#[test]
fn the_listing_names_where_instances_listen() {
    let directory = make_directory().expect("directory");
    let platform = TestPlatform::start(2000, &directory).expect("platform");
    platform.client.order(&members(&["toledo-1"])).expect("listing");
    let reply = read_once(&platform, read("members", 0, "r"));
    let listing = MemberListing::decode(reply.value.as_slice()).expect("listing");
    assert_eq!(listing.members.len(), 1);
    assert_eq!(listing.members[0].name, "toledo-1");
    assert_eq!(listing.members[0].control_address, "127.0.0.1:3");
}

fn read_once(platform: &TestPlatform, request: ReadRequest) -> ReadReply {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let url = format!("http://{}", platform.address);
    runtime.block_on(async {
        let mut client = PlatformClient::connect(url).await.expect("connection");
        client.read(request).await.expect("reply").into_inner()
    })
}

fn shown(reply: &ReadReply) -> (bool, u64, bool, usize) {
    (reply.found, reply.revision, reply.unchanged, reply.value.len())
}

fn read(key: &str, after_revision: u64, reader: &str) -> ReadRequest {
    ReadRequest { key: key.to_owned(), after_revision, wait_ms: 0, reader: reader.to_owned() }
}

fn found(revision: u64, value: Vec<u8>) -> ReadReply {
    ReadReply { found: true, revision, value, unchanged: false }
}

fn unchanged(revision: u64) -> ReadReply {
    ReadReply { found: true, revision, value: Vec::new(), unchanged: true }
}

fn part(name: &str, text: &str) -> PartText {
    PartText { name: name.to_owned(), text: text.to_owned() }
}

fn manifest(revision: u64, parts: &[PartText]) -> Vec<u8> {
    let parts = parts.iter().map(|part| foxledge_wire::control::ManifestPart {
        name: part.name.clone(),
        digest: digest_of(part.text.as_bytes()),
    });
    Manifest { revision, parts: parts.collect() }.encode_to_vec()
}

fn publish(parts: Vec<PartText>, at_least: u64) -> PlatformOrder {
    PlatformOrder::PublishList { parts, at_least }
}

fn rewind(revision: u64) -> PlatformOrder {
    PlatformOrder::Rewind { revision }
}

fn hold(reader: &str, revision: Option<u64>) -> PlatformOrder {
    PlatformOrder::Hold { reader: reader.to_owned(), revision }
}

fn members(names: &[&str]) -> PlatformOrder {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let member = |name: &&str| ListedMember {
        name: (*name).to_owned(),
        data_centre: "toledo".to_owned(),
        data_address: address(1),
        peer_address: address(2),
        control_address: address(3),
        state: ListedState::Alive,
    };
    PlatformOrder::PublishMembers { members: names.iter().map(member).collect() }
}
