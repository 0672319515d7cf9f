//! Lists: what is fetched, what comes into force, and what never does.

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

fn at(millis: u64) -> ClockTime {
    ClockTime::ZERO.after_millis(millis)
}

fn store() -> ListStore {
    ListStore::new(ListOptions::default().builder(Box::new(WordBuilder::default())))
}

fn part(text: &str) -> ListPart {
    ListPart { digest: digest_of(text.as_bytes()), text: text.into() }
}

fn manifest(revision: u64, texts: &[&str]) -> Manifest {
    let named = |(number, text): (usize, &&str)| ManifestPart {
        name: format!("part-{number}"),
        digest: part(text).digest,
    };
    Manifest { revision, parts: texts.iter().enumerate().map(named).collect() }
}

fn version(revision: u64, texts: &[&str]) -> ListVersion {
    let parts = manifest(revision, texts).parts;
    let named = parts.iter().map(|part| (part.name.as_str(), part.digest));
    foxledge_rules::list_version(revision, named)
}

/// What a store asked for and decided, in short lines.
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

/// Brings a list into force from the platform.
fn accept(store: &mut ListStore, revision: u64, texts: &[&str]) {
    store.on_manifest(at(0), PLATFORM, manifest(revision, texts));
    store.on_parts(at(0), PLATFORM, texts.iter().map(|text| part(text)).collect());
    assert_eq!(store.version(), version(revision, texts));
}

#[test]
fn a_change_costs_a_manifest_and_the_changed_part() {
    let mut store = store();
    accept(&mut store, 1, &["a", "b", "c"]);
    let asked = store.on_peer_version(at(10), peer_address(1), version(2, &["a", "B", "c"]));
    expect!["manifest from Peer(10.3.0.1:4000)"].assert_eq(&lines(&asked));
    let asked = store.on_manifest(at(20), peer(1), manifest(2, &["a", "B", "c"]));
    expect!["1 parts from Peer(10.3.0.1:4000)"].assert_eq(&lines(&asked));
    let done = store.on_parts(at(30), peer(1), vec![part("B")]);
    expect![[r#"
        accepted 2
        ListAccepted: 3 parts, 1 of them fetched; no changes (peer 10.3.0.1:4000)"#]]
    .assert_eq(&lines(&done));
    assert_eq!(store.part_bytes(), 3, "the part that was replaced is dropped");
}

#[test]
fn a_platform_restarted_at_an_older_state_changes_nothing() {
    // Symptom: rules that were taken back come into force again.
    // Sequence: revision 5 is in force, the platform restarts and serves revision 3.
    // Cause: taking the platform's word as the newest.
    let mut store = store();
    accept(&mut store, 5, &["new"]);
    let told = store.on_manifest(at(10), PLATFORM, manifest(3, &["old"]));
    expect!["ListIgnored: older than the list in force (platform)"].assert_eq(&lines(&told));
    assert_eq!(lines(&store.on_manifest(at(20), PLATFORM, manifest(3, &["old"]))), "");
    assert_eq!(store.version().revision, 5);
    accept(&mut store, 6, &["newer"]);
}

#[test]
fn another_list_under_the_same_revision_is_ignored() {
    // Symptom: two instances swap lists for ever.
    // Sequence: two states of the platform published different lists as revision 4.
    // Cause: a revision alone doesn't name a list.
    let mut store = store();
    accept(&mut store, 4, &["ours"]);
    let told = store.on_peer_version(at(10), peer_address(1), version(4, &["theirs"]));
    expect!["ListIgnored: contradicts the list in force under its revision (peer 10.3.0.1:4000)"]
        .assert_eq(&lines(&told));
    let told = store.on_manifest(at(10), PLATFORM, manifest(4, &["theirs"]));
    expect!["ListIgnored: contradicts the list in force under its revision (platform)"]
        .assert_eq(&lines(&told));
    assert_eq!(store.version(), version(4, &["ours"]));
}

#[test]
fn a_refused_list_leaves_the_last_one_and_is_not_fetched_again() {
    // Symptom: an instance loses its rules, or fetches the same wrong list for ever.
    // Sequence: a list whose second part is wrong is published after a right one.
    // Cause: a list taken before it was checked; a verdict that isn't remembered.
    let calls = Arc::new(AtomicUsize::new(0));
    let builder = WordBuilder { calls: calls.clone() };
    let mut store = ListStore::new(ListOptions::default().builder(Box::new(builder)));
    accept(&mut store, 1, &["right"]);
    store.on_manifest(at(10), PLATFORM, manifest(2, &["right", "wrong"]));
    let told = store.on_parts(at(20), PLATFORM, vec![part("wrong")]);
    expect!["ListRefused: part-1:1: rule: is wrong (platform)"].assert_eq(&lines(&told));
    assert_eq!(store.version(), version(1, &["right"]));
    assert_eq!(store.newest_known_version().revision, 1, "a refused list isn't waited for");

    let refused = version(2, &["right", "wrong"]);
    assert_eq!(lines(&store.on_peer_version(at(30), peer_address(1), refused)), "");
    assert_eq!(lines(&store.on_manifest(at(40), PLATFORM, manifest(2, &["right", "wrong"]))), "");
    assert_eq!(calls.load(Ordering::Relaxed), 2);
    accept(&mut store, 3, &["right", "mended"]);
}

#[test]
fn the_newer_of_two_operators_lists_wins_midway() {
    let mut store = store();
    accept(&mut store, 1, &["a", "b"]);
    store.on_manifest(at(10), PLATFORM, manifest(2, &["a", "first"]));
    let asked = store.on_manifest(at(20), PLATFORM, manifest(3, &["a", "second"]));
    assert_eq!(lines(&asked), "1 parts from Platform");
    assert_eq!(lines(&store.on_parts(at(30), PLATFORM, vec![part("first")])), "");
    // The platform's word on the part of the older list was no answer; a peer has the newer.
    let asked = store.on_peer_version(at(40), peer_address(1), version(3, &["a", "second"]));
    assert_eq!(lines(&asked), "1 parts from Peer(10.3.0.1:4000)");
    store.on_parts(at(50), peer(1), vec![part("second")]);
    assert_eq!(store.version(), version(3, &["a", "second"]));
    assert_eq!(store.part_bytes(), 7);
}

#[test]
fn a_lost_part_comes_from_another_source() {
    // Symptom: a list never comes into force though a peer has it whole.
    // Sequence: the platform lost a part, then answers with a wrong text, then not at all.
    // Cause: waiting for one source.
    let mut store = store();
    let wanted = ["a", "b"];
    let asked = store.on_manifest(at(0), PLATFORM, manifest(7, &wanted));
    assert_eq!(lines(&asked), "2 parts from Platform");
    let forged = ListPart { digest: part("b").digest, text: b"B".to_vec() };
    let asked = store.on_parts(at(10), PLATFORM, vec![part("a"), forged.clone()]);
    assert_eq!(lines(&asked), "1 parts from Platform");
    assert_eq!(lines(&store.on_parts(at(20), PLATFORM, vec![forged])), "");
    assert_eq!(lines(&store.on_tick(at(1000))), "1 parts from Platform");
    let asked = store.on_peer_version(at(1100), peer_address(2), version(7, &wanted));
    assert_eq!(lines(&asked), "", "one fetch at a time");
    let asked = store.on_tick(at(3100));
    assert_eq!(lines(&asked), "1 parts from Peer(10.3.0.2:4000)");
    store.on_parts(at(3200), peer(2), vec![part("b")]);
    assert_eq!(store.version(), version(7, &wanted));
}

#[test]
fn an_older_list_that_is_whole_goes_before_a_newer_one_that_is_not() {
    let mut store = store();
    accept(&mut store, 1, &["a"]);
    store.on_manifest(at(0), PLATFORM, manifest(3, &["lost"]));
    store.on_fetch_failed(at(10), PLATFORM);
    let asked = store.on_peer_version(at(20), peer_address(1), version(2, &["b"]));
    assert_eq!(lines(&asked), "manifest from Peer(10.3.0.1:4000)");
    store.on_manifest(at(30), peer(1), manifest(2, &["b"]));
    store.on_parts(at(40), peer(1), vec![part("b")]);
    assert_eq!(store.version().revision, 2);
    assert_eq!(store.newest_known_version().revision, 3);
    assert_eq!(lines(&store.on_tick(at(2000))), "manifest from Platform");
}

#[test]
fn a_list_of_a_megabyte_comes_in_bounded_replies() {
    let texts: Vec<String> = (0..64).map(|number| format!("{number:04}").repeat(4096)).collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let mut holder = store();
    accept(&mut holder, 9, &texts);
    let mut reader = store();
    let mut effects = reader.on_peer_version(at(0), peer_address(1), version(9, &texts));
    let mut replies = 0;
    while let Some(effect) = effects.pop() {
        effects = match effect {
            ListEffect::FetchManifest { .. } => {
                reader.on_manifest(at(1), peer(1), holder.manifest().expect("a list"))
            }
            ListEffect::FetchParts { digests, .. } => {
                let parts = holder.parts(&digests);
                assert!(parts.iter().map(|part| part.text.len()).sum::<usize>() <= 256 * 1024);
                replies += 1;
                reader.on_parts(at(2), peer(1), parts)
            }
            ListEffect::Accepted(_) | ListEffect::Audit(_) => effects,
        };
    }
    assert_eq!(reader.version(), version(9, &texts));
    assert_eq!(replies, 4);
}

#[test]
fn a_dead_peer_is_given_up_at_the_deadline() {
    let mut store = store();
    store.on_peer_version(at(0), peer_address(1), version(2, &["a"]));
    store.on_peer_version(at(100), peer_address(2), version(2, &["a"]));
    assert_eq!(lines(&store.on_tick(at(1900))), "");
    assert_eq!(lines(&store.on_tick(at(2000))), "manifest from Peer(10.3.0.2:4000)");
}

#[test]
fn the_real_rules_judge_by_default() {
    let mut store = ListStore::new(ListOptions::default());
    let key = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\"";
    let text = format!("[[rule]]\nname = \"the-rest\"\nthen = {{ deny = true }}\n{key}\n");
    let text = text.as_str();
    accept(&mut store, 1, &[text]);
    store.on_manifest(at(10), PLATFORM, manifest(2, &["[[rule"]));
    let told = store.on_parts(at(20), PLATFORM, vec![part("[[rule")]);
    assert!(lines(&told).starts_with("ListRefused"));
    assert_eq!(store.version(), version(1, &[text]));
}

#[derive(Clone, Debug)]
enum Step {
    Publish { source: u8, revision: u64, wrong: bool },
    Heard { source: u8, revision: u64 },
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
        (1..4u8, 1..8u64).prop_map(|(source, revision)| Step::Heard { source, revision }),
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
        let mut held: HashMap<ListSource, (u64, String)> = HashMap::new();
        let mut asked: Vec<ListEffect> = Vec::new();
        let (mut now, mut last) = (0, 0);
        for step in steps {
            let effects = match step {
                Step::Publish { source, revision, wrong } => {
                    let word = if wrong { "wrong" } else { "right" };
                    let text = format!("{word} {source} {revision}");
                    held.insert(source_of(source), (revision, text.clone()));
                    store.on_manifest(at(now), source_of(source), manifest(revision, &["all", &text]))
                }
                Step::Heard { source, revision } => {
                    store.on_peer_version(at(now), peer_address(source), version(revision, &["all"]))
                }
                Step::Answer { pick } if pick < asked.len() => match asked.remove(pick) {
                    ListEffect::FetchManifest { from } => match held.get(&from) {
                        Some((revision, text)) => {
                            store.on_manifest(at(now), from, manifest(*revision, &["all", text]))
                        }
                        None => store.on_manifest(at(now), from, Manifest::default()),
                    },
                    ListEffect::FetchParts { from, .. } => {
                        let text = held.get(&from).map(|(_, text)| part(text));
                        store.on_parts(at(now), from, text.into_iter().chain([part("all")]).collect())
                    }
                    _ => Vec::new(),
                },
                Step::Fail { pick } if pick < asked.len() => match asked.remove(pick) {
                    ListEffect::FetchManifest { from } | ListEffect::FetchParts { from, .. } => {
                        store.on_fetch_failed(at(now), from)
                    }
                    _ => Vec::new(),
                },
                Step::Wait { millis } => {
                    now += millis;
                    store.on_tick(at(now))
                }
                _ => Vec::new(),
            };
            for effect in effects {
                match effect {
                    ListEffect::Accepted(list) => {
                        prop_assert!(list.version.revision > last);
                        last = list.version.revision;
                    }
                    ListEffect::Audit(_) => {}
                    fetch => asked.push(fetch),
                }
            }
            prop_assert_eq!(store.version().revision, last);
        }

        // Once a source holds a newest right list, and answers, that list comes into force.
        let mut effects = store.on_manifest(at(now), PLATFORM, manifest(9, &["all", "last"]));
        let mut tries = 0;
        while store.version().revision < 9 {
            for effect in std::mem::take(&mut effects) {
                effects.extend(match effect {
                    ListEffect::FetchManifest { from: PLATFORM } => {
                        store.on_manifest(at(now), PLATFORM, manifest(9, &["all", "last"]))
                    }
                    ListEffect::FetchParts { from: PLATFORM, .. } => {
                        store.on_parts(at(now), PLATFORM, vec![part("all"), part("last")])
                    }
                    _ => Vec::new(),
                });
            }
            now += 1000;
            effects.extend(store.on_tick(at(now)));
            tries += 1;
            prop_assert!(tries < 100, "stuck");
        }
    }
}
