//! What refusing older lists prevents.

use foxledge_core::{findings::FindingList, hash::digest_of, lists::RuleList, time::ClockTime};
use foxledge_members::{ListBuilder, ListOptions, ListSource, ListStore, StaleLists};
use foxledge_rules::PartText;
use foxledge_wire::control::{ListPart, Manifest, ManifestPart};

/// Finds every list right.
struct AnyBuilder;

impl ListBuilder for AnyBuilder {
    fn build(&mut self, _: u64, _: &[PartText<'_>]) -> Result<RuleList, FindingList> {
        Ok(RuleList::default())
    }
}

fn part(text: &str) -> ListPart {
    ListPart { digest: digest_of(text.as_bytes()), text: text.into() }
}

/// Offers a list of one part from the platform; the revision in force afterwards.
fn offer(store: &mut ListStore, revision: u64, part: &ListPart) -> u64 {
    let named = ManifestPart { name: "rules".to_owned(), digest: part.digest };
    let manifest = Manifest { revision, parts: vec![named] };
    store.on_manifest(ClockTime::ZERO, ListSource::Platform, manifest);
    store.on_parts(ClockTime::ZERO, ListSource::Platform, vec![part.clone()]);
    store.version().revision
}

/// Symptom: rules that were taken back come into force again.
/// Sequence: revision 5 is in force; the platform restarts at revision 3; with the refusal of
/// older lists switched off, and on.
/// Cause: taking the platform's word as the newest.
#[test]
fn older_list() {
    for (stale, expected) in [(StaleLists::Accept, 3), (StaleLists::Refuse, 5)] {
        let mut store =
            ListStore::new(ListOptions::default().builder(Box::new(AnyBuilder)).stale_lists(stale));
        assert_eq!(offer(&mut store, 5, &part("new")), 5);
        assert_eq!(offer(&mut store, 3, &part("old")), expected, "{stale:?}");
    }
}
