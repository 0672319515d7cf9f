//! Lists of any size, in parts.

#![allow(dead_code)]

use std::{env, fmt::Write, fs};

use foxledge_core::hash::digest_of;
use foxledge_wire::control::{Manifest, ManifestPart};

/// Targets of a service: 38,000 targets of 5,800 services at the target's size.
const TARGETS_EACH: f64 = 38_000.0 / 5_800.0;
/// Services with a second rule: 6,000 rules at the target's size.
const SECOND_RULE_EACH: usize = 29;

/// `WantedSize` is how large a list is to be.
#[derive(Clone, Copy)]
pub enum WantedSize {
    Targets(usize),
    Bytes(usize),
}

/// `TextParts` is the names and texts of a list's parts.
pub struct TextParts {
    pub parts: Vec<(String, String)>,
}

impl TextParts {
    /// Reads the size from a command line: targets or bytes, how many, and the bytes of a part.
    pub fn from_arguments() -> TextParts {
        let arguments: Vec<_> = env::args().skip(1).collect();
        let [kind, size, part_bytes] = arguments.as_slice() else {
            panic!("give targets or bytes, the size, and the bytes of a part");
        };
        let size: usize = size.parse().expect("the size is a number");
        let part_bytes: usize = part_bytes.parse().expect("the bytes of a part are a number");
        let wanted = match kind.as_str() {
            "targets" => WantedSize::Targets(size),
            "bytes" => WantedSize::Bytes(size),
            _ => panic!("give targets or bytes"),
        };
        TextParts::new(wanted, part_bytes)
    }

    pub fn new(wanted: WantedSize, part_bytes: usize) -> TextParts {
        let head = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n\
                    [[member]]\nname = \"bricks-and-co\"\n";
        let mut texts = TextParts { parts: vec![("part-0".to_owned(), head.to_owned())] };
        let mut targets = 0;
        for service in 0.. {
            let missing = match wanted {
                WantedSize::Targets(wanted) => wanted.saturating_sub(targets),
                WantedSize::Bytes(wanted) if texts.bytes() < wanted => usize::MAX,
                WantedSize::Bytes(_) => 0,
            };
            if missing == 0 {
                break;
            }
            // A number with a fraction becomes whole numbers of the same mean.
            let upto = ((service + 1) as f64 * TARGETS_EACH) as usize;
            let count = upto.saturating_sub(targets).clamp(1, missing);
            let text = service_text(service, targets, count);
            targets += count;
            texts.push(&text, part_bytes);
        }
        texts
    }

    fn push(&mut self, text: &str, part_bytes: usize) {
        let last = &mut self.parts.last_mut().expect("there is a first part").1;
        if last.len() + text.len() <= part_bytes {
            last.push_str(text);
        } else {
            self.parts.push((format!("part-{}", self.parts.len()), text.to_owned()));
        }
    }

    pub fn copied(&self) -> TextParts {
        TextParts { parts: self.parts.clone() }
    }

    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|(_, text)| text.len()).sum()
    }

    pub fn manifest(&self, revision: u64) -> Manifest {
        let parts = self.parts.iter().map(|(name, text)| ManifestPart {
            name: name.clone(),
            digest: digest_of(text.as_bytes()),
        });
        Manifest { revision, parts: parts.collect() }
    }

    /// Has one target of one part drain, or serve again; returns the part.
    pub fn change_one(&mut self, change: usize) -> usize {
        let at = change * 7919 % self.parts.len();
        let text = &mut self.parts[at].1;
        *text = match text.find("draining = true") {
            Some(_) => text.replacen("draining = true", "draining = false", 1),
            None => text.replacen("draining = false", "draining = true", 1),
        };
        at
    }
}

fn service_text(service: usize, first_target: usize, targets: usize) -> String {
    let mut text = String::new();
    write_service(&mut text, service, first_target, targets).expect("writing to a string");
    text
}

fn write_service(
    text: &mut String,
    service: usize,
    first_target: usize,
    targets: usize,
) -> std::fmt::Result {
    if service.is_multiple_of(SECOND_RULE_EACH) {
        writeln!(text, "[[rule]]\nname = \"bids-{service}\"")?;
        writeln!(text, "when = {{ address = [\"s{service}.lakeshore\"], kind = [\"bid\"] }}")?;
        writeln!(text, "then = {{ service = \"service-{service}\", priority = 5 }}")?;
    }
    writeln!(text, "[[rule]]\nname = \"rest-{service}\"")?;
    writeln!(text, "then = {{ service = \"service-{service}\" }}")?;
    writeln!(text, "[[service]]\nname = \"service-{service}\"")?;
    writeln!(text, "addresses = [\"s{service}.lakeshore\"]\nqueue_limit = 400\nshards = 1")?;
    for target in first_target..first_target + targets {
        let (high, low) = (target / 250, target % 250);
        writeln!(text, "[[service.target]]\nname = \"target-{target}\"")?;
        writeln!(text, "address = \"10.1.{high}.{low}:9001\"\nincarnation = 1")?;
        writeln!(text, "data_centre = \"centre-{}\"", target % 8)?;
        writeln!(text, "slots = 2\nconnections = 2000\ndraining = false")?;
    }
    Ok(())
}

pub fn resident_bytes() -> usize {
    status_bytes("VmRSS:")
}

/// A size of this process, as Linux tells it; 0 elsewhere.
pub fn status_bytes(field: &str) -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or_default() * 1024
}
