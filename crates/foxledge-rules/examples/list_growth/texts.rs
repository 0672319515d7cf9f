//! Generates lists of any size, split into parts.

#![allow(dead_code)]

use std::{env, fmt::Write, fs};

use foxledge_core::hash::digest_of;
use foxledge_wire::control::{Manifest, ManifestPart};

/// The mean number of targets of a service: 38,000 targets of 5,800 services at the planned size.
const TARGETS_PER_SERVICE: f64 = 38_000.0 / 5_800.0;
/// One in this many services has a second rule: 6,000 rules at the planned size.
const SERVICES_PER_SECOND_RULE: usize = 29;

/// The size of a list to generate.
#[derive(Clone, Copy)]
pub enum ListSize {
    Targets(usize),
    Bytes(usize),
}

/// The names and texts of the parts of a list.
pub struct TextParts {
    pub parts: Vec<(String, String)>,
}

impl TextParts {
    /// Generates a list from the command line arguments: `targets` or `bytes`, the size of the
    /// list, and the size of a part in bytes.
    pub fn from_arguments() -> TextParts {
        let arguments: Vec<_> = env::args().skip(1).collect();
        let [kind, size, part_bytes] = arguments.as_slice() else {
            panic!("expected targets or bytes, the list size, and the part size in bytes");
        };
        let size: usize = size.parse().expect("the list size must be a number");
        let part_bytes: usize = part_bytes.parse().expect("the part size must be a number");
        let list_size = match kind.as_str() {
            "targets" => ListSize::Targets(size),
            "bytes" => ListSize::Bytes(size),
            _ => panic!("the first argument must be targets or bytes"),
        };
        TextParts::new(list_size, part_bytes)
    }

    pub fn new(list_size: ListSize, part_bytes: usize) -> TextParts {
        let head = "[[key]]\nid = 1\nsecret = \"000102030405060708090a0b0c0d0e0f\"\n\
                    [[member]]\nname = \"bricks-and-co\"\n";
        let mut texts = TextParts { parts: vec![("part-0".to_owned(), head.to_owned())] };
        let mut targets = 0;
        for service in 0.. {
            let remaining = match list_size {
                ListSize::Targets(count) => count.saturating_sub(targets),
                ListSize::Bytes(bytes) if texts.bytes() < bytes => usize::MAX,
                ListSize::Bytes(_) => 0,
            };
            if remaining == 0 {
                break;
            }
            // Rounding the running total gives whole numbers with the same mean.
            let target_end = ((service + 1) as f64 * TARGETS_PER_SERVICE) as usize;
            let count = target_end.saturating_sub(targets).clamp(1, remaining);
            let text = service_text(service, targets, count);
            targets += count;
            texts.push(&text, part_bytes);
        }
        texts
    }

    fn push(&mut self, text: &str, part_bytes: usize) {
        let last = &mut self.parts.last_mut().expect("the list has a first part").1;
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

    /// Toggles the `draining` flag of one target, and returns the index of the changed part.
    pub fn change_one(&mut self, change: usize) -> usize {
        let index = change * 7919 % self.parts.len();
        let text = &mut self.parts[index].1;
        *text = match text.find("draining = true") {
            Some(_) => text.replacen("draining = true", "draining = false", 1),
            None => text.replacen("draining = false", "draining = true", 1),
        };
        index
    }
}

fn service_text(service: usize, first_target: usize, targets: usize) -> String {
    let mut text = String::new();
    write_service(&mut text, service, first_target, targets).expect("writing to a string succeeds");
    text
}

fn write_service(
    text: &mut String,
    service: usize,
    first_target: usize,
    targets: usize,
) -> std::fmt::Result {
    if service.is_multiple_of(SERVICES_PER_SECOND_RULE) {
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

/// Returns a memory size of this process, in bytes, from a field of Linux's
/// `/proc/self/status`; 0 on other systems.
pub fn status_bytes(field: &str) -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or_default() * 1024
}
