//! Fetching, acceptance and refusal of lists.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use expect_test::expect;
use foxledge_core::{
    findings::FindingList, hash::digest_of, lists::ListVersion, lists::RuleList, time::ClockTime,
};
use foxledge_members::{ListBuilder, ListEffect, ListOptions, ListSource, ListStore};
use foxledge_rules::PartText;
use foxledge_wire::control::{ListPart, Manifest, ManifestPart};
use proptest::prelude::*;

/// Refuses lists with the word "wrong" in a part, and counts its calls.
#[derive(Default)]
struct WordBuilder {
    calls: Arc<AtomicUsize>,
}

impl ListBuilder for WordBuilder {
    fn build(&mut self, _revision: u64, parts: &[PartText<'_>]) -> Result<RuleList, FindingList> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut findings = FindingList::new();
        for part in parts.iter().filter(|part| part.text.contains("wrong")) {
            findings.add(part.name, 1, "rule", "is wrong");
        }
        if findings.is_empty() { Ok(RuleList::default()) } else { Err(findings) }
    }
}

const PLATFORM: ListSource = ListSource::Platform;

fn peer_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 3, 0, number], 4000))
}

fn peer(number: u8) -> ListSource {
    ListSource::Peer(peer_address(number))
}

fn clock_at(millis: u64) -> ClockTime {
    ClockTime::ZERO.after_millis(millis)
}

fn store() -> ListStore {
    ListStore::new(ListOptions::default().builder(Box::new(WordBuilder::default())))
}

fn part(text: &str) -> ListPart {
    ListPart { digest: digest_of(text.as_bytes()), text: text.into() }
}

fn manifest(revision: u64, texts: &[&str]) -> Manifest {
    let manifest_part = |(number, text): (usize, &&str)| ManifestPart {
        name: format!("part-{number}"),
        digest: part(text).digest,
    };
    Manifest { revision, parts: texts.iter().enumerate().map(manifest_part).collect() }
}

fn version(revision: u64, texts: &[&str]) -> ListVersion {
    let parts = manifest(revision, texts).parts;
    let named = parts.iter().map(|part| (part.name.as_str(), part.digest));
    foxledge_rules::list_version(revision, named)
}

/// Describes the effects of a store, one line each.
fn lines(effects: &[ListEffect]) -> String {
    let line = |effect: &ListEffect| match effect {
        ListEffect::FetchManifest { from } => format!("manifest from {from:?}"),
        ListEffect::FetchParts { from, digests } => {
            format!("{} parts from {from:?}", digests.len())
        }
        ListEffect::Accepted(list) => format!("accepted {}", list.version.revision),
        ListEffect::Audit(change) => {
            format!("{:?}: {} ({})", change.kind, change.cause, change.source)
        }
    };
    effects.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Publishes a list from the platform and expects it to be accepted.
fn accept(store: &mut ListStore, revision: u64, texts: &[&str]) {
    store.on_manifest(clock_at(0), PLATFORM, manifest(revision, texts));
    store.on_parts(clock_at(0), PLATFORM, texts.iter().map(|text| part(text)).collect());
    assert_eq!(store.version(), version(revision, texts));
}

#[test]
fn fetches_only_the_manifest_and_changed_parts() {
    let mut store = store();
    accept(&mut store, 1, &["a", "b", "c"]);
    let requests =
        store.on_peer_version(clock_at(10), peer_address(1), version(2, &["a", "B", "c"]));
    expect!["manifest from Peer(10.3.0.1:4000)"].assert_eq(&lines(&requests));
    let requests = store.on_manifest(clock_at(20), peer(1), manifest(2, &["a", "B", "c"]));
    expect!["1 parts from Peer(10.3.0.1:4000)"].assert_eq(&lines(&requests));
    let done = store.on_parts(clock_at(30), peer(1), vec![part("B")]);
    expect![[r#"
        accepted 2
        ListAccepted: 3 parts, 1 of them fetched; no changes (peer 10.3.0.1:4000)"#]]
    .assert_eq(&lines(&done));
    assert_eq!(store.part_bytes(), 3, "the replaced part is dropped");
}

// Guards against removed rules that come into force again. Revision 5 is in force when the platform
// restarts and serves revision 3, which must not be considered the newest.
#[test]
fn ignores_older_revisions_after_a_platform_restart() {
    let mut store = store();
    accept(&mut store, 5, &["new"]);
    let entries = store.on_manifest(clock_at(10), PLATFORM, manifest(3, &["old"]));
    expect!["ListIgnored: older than the list in force (platform)"].assert_eq(&lines(&entries));
    assert_eq!(lines(&store.on_manifest(clock_at(20), PLATFORM, manifest(3, &["old"]))), "");
    assert_eq!(store.version().revision, 5);
    accept(&mut store, 6, &["newer"]);
}

// Guards against two instances that exchange lists for ever. Two states of the platform have
// published different lists as revision 4, so a revision alone doesn't identify a list.
#[test]
fn ignores_a_different_list_with_the_same_revision() {
    let mut store = store();
    accept(&mut store, 4, &["ours"]);
    let entries = store.on_peer_version(clock_at(10), peer_address(1), version(4, &["theirs"]));
    expect!["ListIgnored: contradicts the list in force under its revision (peer 10.3.0.1:4000)"]
        .assert_eq(&lines(&entries));
    let entries = store.on_manifest(clock_at(10), PLATFORM, manifest(4, &["theirs"]));
    expect!["ListIgnored: contradicts the list in force under its revision (platform)"]
        .assert_eq(&lines(&entries));
    assert_eq!(store.version(), version(4, &["ours"]));
}

// Guards against an instance that loses its rules, or fetches the same invalid list for ever. A
// list with an invalid second part follows a valid one. It must be validated before it is accepted,
// and the refusal must be remembered.
#[test]
fn keeps_the_accepted_list_and_does_not_refetch_a_refused_one() {
    let calls = Arc::new(AtomicUsize::new(0));
    let builder = WordBuilder { calls: calls.clone() };
    let mut store = ListStore::new(ListOptions::default().builder(Box::new(builder)));
    accept(&mut store, 1, &["right"]);
    store.on_manifest(clock_at(10), PLATFORM, manifest(2, &["right", "wrong"]));
    let entries = store.on_parts(clock_at(20), PLATFORM, vec![part("wrong")]);
    expect!["ListRefused: part-1:1: rule: is wrong (platform)"].assert_eq(&lines(&entries));
    assert_eq!(store.version(), version(1, &["right"]));
    assert_eq!(store.newest_known_version().revision, 1, "a refused list is not fetched");

    let refused = version(2, &["right", "wrong"]);
    assert_eq!(lines(&store.on_peer_version(clock_at(30), peer_address(1), refused)), "");
    assert_eq!(
        lines(&store.on_manifest(clock_at(40), PLATFORM, manifest(2, &["right", "wrong"]))),
        ""
    );
    assert_eq!(calls.load(Ordering::Relaxed), 2);
    accept(&mut store, 3, &["right", "mended"]);
}

#[test]
fn a_newer_manifest_replaces_the_pending_list() {
    let mut store = store();
    accept(&mut store, 1, &["a", "b"]);
    store.on_manifest(clock_at(10), PLATFORM, manifest(2, &["a", "first"]));
    let requests = store.on_manifest(clock_at(20), PLATFORM, manifest(3, &["a", "second"]));
    assert_eq!(lines(&requests), "1 parts from Platform");
    assert_eq!(lines(&store.on_parts(clock_at(30), PLATFORM, vec![part("first")])), "");
    // The part of the older list counts as a failed fetch from the platform; a peer has the newer
    // list.
    let requests =
        store.on_peer_version(clock_at(40), peer_address(1), version(3, &["a", "second"]));
    assert_eq!(lines(&requests), "1 parts from Peer(10.3.0.1:4000)");
    store.on_parts(clock_at(50), peer(1), vec![part("second")]);
    assert_eq!(store.version(), version(3, &["a", "second"]));
    assert_eq!(store.part_bytes(), 7);
}

// Guards against a list that never comes into force though a peer has it complete. The platform has
// lost a part, responds with a wrong text and then not at all; the store must not wait for one
// source.
#[test]
fn fetches_a_missing_part_from_another_source() {
    let mut store = store();
    let wanted = ["a", "b"];
    let requests = store.on_manifest(clock_at(0), PLATFORM, manifest(7, &wanted));
    assert_eq!(lines(&requests), "2 parts from Platform");
    let forged = ListPart { digest: part("b").digest, text: b"B".to_vec() };
    let requests = store.on_parts(clock_at(10), PLATFORM, vec![part("a"), forged.clone()]);
    assert_eq!(lines(&requests), "1 parts from Platform");
    assert_eq!(lines(&store.on_parts(clock_at(20), PLATFORM, vec![forged])), "");
    assert_eq!(lines(&store.on_tick(clock_at(1000))), "1 parts from Platform");
    let requests = store.on_peer_version(clock_at(1100), peer_address(2), version(7, &wanted));
    assert_eq!(lines(&requests), "", "one fetch is in progress at a time");
    let requests = store.on_tick(clock_at(3100));
    assert_eq!(lines(&requests), "1 parts from Peer(10.3.0.2:4000)");
    store.on_parts(clock_at(3200), peer(2), vec![part("b")]);
    assert_eq!(store.version(), version(7, &wanted));
}

#[test]
fn accepts_an_older_complete_list_while_a_newer_one_is_unavailable() {
    let mut store = store();
    accept(&mut store, 1, &["a"]);
    store.on_manifest(clock_at(0), PLATFORM, manifest(3, &["lost"]));
    store.on_fetch_failed(clock_at(10), PLATFORM);
    let requests = store.on_peer_version(clock_at(20), peer_address(1), version(2, &["b"]));
    assert_eq!(lines(&requests), "manifest from Peer(10.3.0.1:4000)");
    store.on_manifest(clock_at(30), peer(1), manifest(2, &["b"]));
    store.on_parts(clock_at(40), peer(1), vec![part("b")]);
    assert_eq!(store.version().revision, 2);
    assert_eq!(store.newest_known_version().revision, 3);
    assert_eq!(lines(&store.on_tick(clock_at(2000))), "manifest from Platform");
}

#[test]
fn transfers_a_megabyte_list_in_bounded_replies() {
    let texts: Vec<String> = (0..64).map(|number| format!("{number:04}").repeat(4096)).collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let mut source_store = store();
    accept(&mut source_store, 9, &texts);
    let mut reader = store();
    let mut effects = reader.on_peer_version(clock_at(0), peer_address(1), version(9, &texts));
    let mut replies = 0;
    while let Some(effect) = effects.pop() {
        effects = match effect {
            ListEffect::FetchManifest { .. } => reader.on_manifest(
                clock_at(1),
                peer(1),
                source_store.manifest().expect("the source has a list"),
            ),
            ListEffect::FetchParts { digests, .. } => {
                let parts = source_store.parts(&digests);
                assert!(parts.iter().map(|part| part.text.len()).sum::<usize>() <= 256 * 1024);
                replies += 1;
                reader.on_parts(clock_at(2), peer(1), parts)
            }
            ListEffect::Accepted(_) | ListEffect::Audit(_) => effects,
        };
    }
    assert_eq!(reader.version(), version(9, &texts));
    assert_eq!(replies, 4);
}

#[test]
fn fetches_from_another_peer_after_the_fetch_timeout() {
    let mut store = store();
    store.on_peer_version(clock_at(0), peer_address(1), version(2, &["a"]));
    store.on_peer_version(clock_at(100), peer_address(2), version(2, &["a"]));
    assert_eq!(lines(&store.on_tick(clock_at(1900))), "");
    assert_eq!(lines(&store.on_tick(clock_at(2000))), "manifest from Peer(10.3.0.2:4000)");
}

#[test]
fn validates_lists_with_the_rules_parser_by_default() {
    let mut store = ListStore::new(ListOptions::default());
    let key = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\"";
    let text = format!("[[rule]]\nname = \"the-rest\"\nthen = {{ deny = true }}\n{key}\n");
    let text = text.as_str();
    accept(&mut store, 1, &[text]);
    store.on_manifest(clock_at(10), PLATFORM, manifest(2, &["[[rule"]));
    let entries = store.on_parts(clock_at(20), PLATFORM, vec![part("[[rule")]);
    assert!(lines(&entries).starts_with("ListRefused"));
    assert_eq!(store.version(), version(1, &[text]));
}

#[derive(Clone, Debug)]
enum Step {
    Publish { source: u8, revision: u64, wrong: bool },
    PeerVersion { source: u8, revision: u64 },
    Answer { pick: usize },
    Fail { pick: usize },
    Wait { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..4u8, 1..8u64, any::<bool>()).prop_map(|(source, revision, wrong)| Step::Publish {
            source,
            revision,
            wrong
        }),
        (1..4u8, 1..8u64).prop_map(|(source, revision)| Step::PeerVersion { source, revision }),
        (0..4usize).prop_map(|pick| Step::Answer { pick }),
        (0..4usize).prop_map(|pick| Step::Fail { pick }),
        (1..3000u64).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_revision_never_goes_back(steps in steps()) {
        let source_of = |number: u8| if number == 0 { PLATFORM } else { peer(number) };
        let mut store = store();
        let mut published: HashMap<ListSource, (u64, String)> = HashMap::new();
        let mut requests: Vec<ListEffect> = Vec::new();
        let (mut now, mut last_revision) = (0, 0);
        for step in steps {
            let effects = match step {
                Step::Publish { source, revision, wrong } => {
                    let validity = if wrong { "wrong" } else { "right" };
                    let text = format!("{validity} {source} {revision}");
                    published.insert(source_of(source), (revision, text.clone()));
                    store.on_manifest(clock_at(now), source_of(source), manifest(revision, &["all", &text]))
                }
                Step::PeerVersion { source, revision } => {
                    store.on_peer_version(clock_at(now), peer_address(source), version(revision, &["all"]))
                }
                Step::Answer { pick } if pick < requests.len() => match requests.remove(pick) {
                    ListEffect::FetchManifest { from } => match published.get(&from) {
                        Some((revision, text)) => {
                            store.on_manifest(clock_at(now), from, manifest(*revision, &["all", text]))
                        }
                        None => store.on_manifest(clock_at(now), from, Manifest::default()),
                    },
                    ListEffect::FetchParts { from, .. } => {
                        let text = published.get(&from).map(|(_, text)| part(text));
                        store.on_parts(clock_at(now), from, text.into_iter().chain([part("all")]).collect())
                    }
                    _ => Vec::new(),
                },
                Step::Fail { pick } if pick < requests.len() => match requests.remove(pick) {
                    ListEffect::FetchManifest { from } | ListEffect::FetchParts { from, .. } => {
                        store.on_fetch_failed(clock_at(now), from)
                    }
                    _ => Vec::new(),
                },
                Step::Wait { millis } => {
                    now += millis;
                    store.on_tick(clock_at(now))
                }
                _ => Vec::new(),
            };
            for effect in effects {
                match effect {
                    ListEffect::Accepted(list) => {
                        prop_assert!(list.version.revision > last_revision);
                        last_revision = list.version.revision;
                    }
                    ListEffect::Audit(_) => {}
                    fetch => requests.push(fetch),
                }
            }
            prop_assert_eq!(store.version().revision, last_revision);
        }

        // A newest valid list comes into force once its source responds.
        let mut effects = store.on_manifest(clock_at(now), PLATFORM, manifest(9, &["all", "last"]));
        let mut attempts = 0;
        while store.version().revision < 9 {
            for effect in std::mem::take(&mut effects) {
                effects.extend(match effect {
                    ListEffect::FetchManifest { from: PLATFORM } => {
                        store.on_manifest(clock_at(now), PLATFORM, manifest(9, &["all", "last"]))
                    }
                    ListEffect::FetchParts { from: PLATFORM, .. } => {
                        store.on_parts(clock_at(now), PLATFORM, vec![part("all"), part("last")])
                    }
                    _ => Vec::new(),
                });
            }
            now += 1000;
            effects.extend(store.on_tick(clock_at(now)));
            attempts += 1;
            prop_assert!(attempts < 100, "the newest list was not accepted");
        }
    }
}
