//! Restoring a store from a snapshot of another one in the same process.

use foxledge_core::{hash::digest_of, time::ClockTime};
use foxledge_members::{ListEffect, ListOptions, ListSource, ListStore};
use foxledge_wire::control::{ListPart, Manifest, ManifestPart};

const KEY: &str = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n";
const MEMBER: &str = "[[member]]\nname = \"bricks\"\n";
const OTHER: &str = "[[member]]\nname = \"berries\"\n";

fn manifest(revision: u64, texts: &[&str]) -> Manifest {
    let parts = texts.iter().enumerate().map(|(number, text)| ManifestPart {
        name: format!("p{number}"),
        digest: digest_of(text.as_bytes()),
    });
    Manifest { revision, parts: parts.collect() }
}

fn part(text: &str) -> ListPart {
    ListPart { digest: digest_of(text.as_bytes()), text: text.as_bytes().to_vec() }
}

fn clock_at(revision: u64) -> ClockTime {
    ClockTime::ZERO.after_millis(revision * 10_000)
}

// Guards against an instance that returns to an older list revision, or has no list for a while.
// The part of the process with the store fails and is restarted, and a peer with an older list
// reports its version; a new store without the snapshot would start empty.
#[test]
fn restored_store_keeps_the_list_and_its_parts() {
    let mut first = ListStore::new(ListOptions::default());
    assert!(first.snapshot().is_none());
    first.on_manifest(clock_at(2), ListSource::Platform, manifest(2, &[KEY, MEMBER]));
    first.on_parts(clock_at(2), ListSource::Platform, vec![part(KEY), part(MEMBER)]);
    // The snapshot must not contain the parts of the pending list.
    first.on_manifest(clock_at(3), ListSource::Platform, manifest(3, &[KEY, OTHER, "# more"]));
    first.on_parts(clock_at(3), ListSource::Platform, vec![part(OTHER)]);

    let snapshot = first.snapshot().unwrap();
    assert_eq!(snapshot.list().version, first.version());
    let mut second = ListStore::restore(ListOptions::default(), snapshot);
    assert_eq!(second.version(), first.version());
    assert_eq!(second.manifest(), first.manifest());
    assert_eq!(second.part_bytes(), KEY.len() + MEMBER.len());
    assert_eq!(second.parts(&[digest_of(KEY.as_bytes())]), vec![part(KEY)]);

    second.on_manifest(clock_at(4), ListSource::Platform, manifest(1, &[KEY, OTHER]));
    assert_eq!(second.version().revision, 2);
    let requests =
        second.on_manifest(clock_at(5), ListSource::Platform, manifest(4, &[KEY, OTHER]));
    let digests = vec![digest_of(OTHER.as_bytes())];
    assert_eq!(requests, vec![ListEffect::FetchParts { from: ListSource::Platform, digests }]);
    second.on_parts(clock_at(5), ListSource::Platform, vec![part(OTHER)]);
    assert_eq!(second.version().revision, 4);
}
