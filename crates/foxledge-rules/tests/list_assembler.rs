//! Successive lists, of which only the changed parts are parsed.

use foxledge_core::lists::RuleList;
use foxledge_rules::{ListAssembler, OwnedPart, PartText, build_list};
use proptest::{prelude::*, sample::Index};

/// Parts of which many combinations are valid, and some parts that are always invalid.
const PARTS: &[&str] = &[
    "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n",
    "[[key]]\nid = 2\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n[[member]]\nname = \"m\"\n",
    "[[service]]\nname = \"desk\"\naddresses = [\"auction\"]\n",
    "\n[[service]]\nname = \"desk\"\naddresses = [\"auction\", \"bids\"]\nshards = 2\n",
    "[[target]]\nservice = \"desk\"\nname = \"a1\"\naddress = \"10.0.0.1:1\"\nincarnation = 1\n\
     data_centre = \"erie\"\n",
    "[[target]]\nservice = \"desk\"\nname = \"a2\"\naddress = \"10.0.0.2:1\"\nincarnation = 1\n\
     data_centre = \"erie\"\n",
    "[[target]]\nservice = \"desk\"\nname = \"a3\"\naddress = \"10.0.0.2:1\"\nincarnation = 1\n\
     data_centre = \"erie\"\n",
    "[[rule]]\nname = \"r\"\nthen = { service = \"desk\" }\n",
    "# moved\n[[rule]]\nname = \"s\"\nwhen = { member = [\"m\"] }\nthen = { service = \"desk\" }\n",
    "[[rule]]\nname = \"t\"\nwhen = { address = [\"bids\"] }\nthen = { deny = true }\n",
    "[[service]]\nname = \"lots\"\naddresses = [\"lots\"]\n[[service.target]]\nname = \"l1\"\n\
     address = \"10.0.0.9:1\"\nincarnation = 1\ndata_centre = \"erie\"\n",
    "[[service]]\nname = 5\n",
    "[[rule]\n",
    "",
];

/// Converts the result of a build to the list or the text of its findings.
fn build_result(result: Result<RuleList, impl ToString>) -> Result<RuleList, String> {
    result.map_err(|findings| findings.to_string())
}

/// Builds each list with the same assembler and with `build_list`, compares the results, and
/// returns the number of valid lists.
fn check_sequence(lists: &[Vec<OwnedPart>]) -> Result<usize, TestCaseError> {
    let mut assembler = ListAssembler::new();
    let mut valid_count = 0;
    for (revision, list) in (1..).zip(lists) {
        let parts: Vec<_> = list.iter().map(PartText::from).collect();
        for part in parts.iter().step_by(2) {
            assembler.parse_ahead(part.text);
        }
        let result = build_result(assembler.build(revision, &parts));
        valid_count += usize::from(result.is_ok());
        prop_assert_eq!(result, build_result(build_list(revision, list)));
        assembler.retain(|digest| digest % 4 > 0);
    }
    Ok(valid_count)
}

fn part(name: usize, text: &str) -> OwnedPart {
    OwnedPart { name: format!("p{name}"), text: text.to_owned() }
}

/// Generates a list of a few parts, whose names aren't tied to their texts.
fn random_list() -> impl Strategy<Value = Vec<OwnedPart>> {
    let picks = proptest::collection::vec((0..10usize, any::<Index>()), 1..9);
    picks.prop_map(|picks| {
        picks.into_iter().map(|(name, at)| part(name, PARTS[at.index(PARTS.len())])).collect()
    })
}

/// Generates a valid list and a sequence of changes to it.
fn changed_list_sequences() -> impl Strategy<Value = Vec<Vec<OwnedPart>>> {
    let change = (any::<Index>(), any::<Index>(), 0..4u8);
    proptest::collection::vec(change, 1..12).prop_map(|changes| {
        let mut list: Vec<_> =
            [0, 1, 3, 4, 5, 7].into_iter().map(|at| part(at, PARTS[at])).collect();
        let mut lists = vec![list.clone()];
        for (position, text, kind) in changes {
            let at = position.index(list.len());
            let text = text.index(PARTS.len());
            match kind {
                0 => list[at].text = PARTS[text].to_owned(),
                1 => list.insert(at, part(100 + lists.len(), PARTS[text])),
                2 if list.len() > 1 => drop(list.remove(at)),
                _ => list.rotate_left(at),
            }
            lists.push(list.clone());
        }
        lists
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// If a cached part of an earlier list affected the result for a later one, an instance
    /// that has run since the first list and one that was just started would disagree, and one
    /// of them would stay on the previous list.
    #[test]
    fn results_ignore_earlier_lists(lists in proptest::collection::vec(random_list(), 1..8)) {
        check_sequence(&lists)?;
    }

    #[test]
    fn changed_lists_give_the_same_results_as_build_list(lists in changed_list_sequences()) {
        prop_assert!(check_sequence(&lists)? > 0);
    }
}

/// An invalid part of a rejected list must not be cached as a valid part.
#[test]
fn rejects_an_invalid_part_again() {
    let valid = [part(0, PARTS[0])];
    let invalid = [part(0, PARTS[0]), part(1, "[[service]]\nname = 5\n")];
    check_sequence(&[valid.to_vec(), invalid.to_vec(), invalid.to_vec(), valid.to_vec()]).unwrap();
}
