//! The effect of refusing older lists.

use foxledge_core::{findings::FindingList, hash::digest_of, lists::RuleList, time::ClockTime};
use foxledge_members::{ListBuilder, ListOptions, ListSource, ListStore, StaleLists};
use foxledge_rules::PartText;
use foxledge_wire::control::{ListPart, Manifest, ManifestPart};

/// Accepts every list.
struct AnyBuilder;

impl ListBuilder for AnyBuilder {
    fn build(&mut self, _: u64, _: &[PartText<'_>]) -> Result<RuleList, FindingList> {
        Ok(RuleList::default())
    }
}

fn part(text: &str) -> ListPart {
    ListPart { digest: digest_of(text.as_bytes()), text: text.into() }
}

/// Publishes a list of one part from the platform. Returns the revision in force afterwards.
fn offer(store: &mut ListStore, revision: u64, part: &ListPart) -> u64 {
    let manifest_part = ManifestPart { name: "rules".to_owned(), digest: part.digest };
    let manifest = Manifest { revision, parts: vec![manifest_part] };
    store.on_manifest(ClockTime::ZERO, ListSource::Platform, manifest);
    store.on_parts(ClockTime::ZERO, ListSource::Platform, vec![part.clone()]);
    store.version().revision
}

// Guards against removed rules that come into force again. Revision 5 is in force when the platform
// restarts at revision 3; older lists are accepted in the first case and refused in the second.
#[test]
fn accepts_older_lists_only_when_they_are_not_refused() {
    for (stale, expected) in [(StaleLists::Accept, 3), (StaleLists::Refuse, 5)] {
        let mut store =
            ListStore::new(ListOptions::default().builder(Box::new(AnyBuilder)).stale_lists(stale));
        assert_eq!(offer(&mut store, 5, &part("new")), 5);
        assert_eq!(offer(&mut store, 3, &part("old")), expected, "{stale:?}");
    }
}
