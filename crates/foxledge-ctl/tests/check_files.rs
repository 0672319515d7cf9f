//! `foxledgectl check` on valid and invalid files.

mod common;

use std::path::{Path, PathBuf};

use common::run_to_text;
use expect_test::expect;

/// A temporary folder of one test, which is removed when it is dropped.
struct FileFolder(PathBuf);

impl FileFolder {
    fn new(test: &str) -> FileFolder {
        let path = std::env::temp_dir().join(format!("foxledgectl-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        FileFolder(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the tool and returns its output without the path of the folder.
    fn run(&self, arguments: &[&str]) -> String {
        run_to_text(arguments).replace(&format!("{}/", self.0.display()), "")
    }
}

impl Drop for FileFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the path of a file of the examples in the documentation.
fn example_path(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/examples").join(name);
    path.display().to_string()
}

// Guards against published figures that are replaced without notice.
#[test]
fn replaced_figures_are_warnings() {
    let folder = FileFolder::new("figures");
    let example = std::fs::read_to_string(example_path("packets.toml")).unwrap();
    let file = folder.write("p.toml", &example.replace("overrun = 1.5", "overrun = true"));
    expect![[r#"
        good: instance toledo-1 in toledo
        warning: p.toml:21: cold.overrun: must be a number from 0 to 100; 1 is used
        exit code 0
    "#]]
    .assert_eq(&folder.run(&["check", "packets", &file]));
}

// Guards against examples in the documentation that a daemon would refuse.
#[test]
fn accepts_the_documented_examples() {
    let settings = example_path("foxledged.toml");
    expect![[r#"
        good: instance toledo-1 in toledo
        exit code 0
    "#]]
    .assert_eq(&run_to_text(&["check", "settings", &settings]));
    let local = example_path("local.toml");
    expect![[r#"
        good: instance local-1 in toledo
        exit code 0
    "#]]
    .assert_eq(&run_to_text(&["check", "settings", &local]));
    let rules = example_path("lakeshore-rules.toml");
    expect![[r#"
        good: 5 rules, 2 services, 3 targets, 2 members, 1 key
        exit code 0
    "#]]
    .assert_eq(&run_to_text(&["check", "rules", &rules]));
    expect![[r#"
        {
          "findings": [],
          "summary": "5 rules, 2 services, 3 targets, 2 members, 1 key",
          "warnings": []
        }
        exit code 0
    "#]]
    .assert_eq(&run_to_text(&["check", "rules", &rules, "--format", "json"]));
}

// Guards against a check that stops at the first finding, so that an operator mends one at a time.
#[test]
fn reports_all_findings_with_file_and_line() {
    let folder = FileFolder::new("findings");
    let settings = folder.write("bad.toml", "[instance]\nname = \"\"\n[log]\nlevel = \"loud\"\n");
    expect![[r#"
        bad.toml: listen.data: is missing
        bad.toml: listen.peer: is missing
        bad.toml: listen.control: is missing
        bad.toml: listen.admin: is missing
        bad.toml: platform.addresses: is missing
        bad.toml:1: instance.data_centre: is missing
        bad.toml:2: instance.name: must not be empty
        bad.toml:4: log.level: must be one of "off", "error", "warn", "info", "debug", "trace"
        8 findings
        exit code 1
    "#]]
    .assert_eq(&folder.run(&["check", "settings", &settings]));
    let first = folder.write("first.toml", "[[rule]]\nname = \"r\"\n");
    let second = folder.write("second.toml", "[[key]]\nid = 0\n");
    expect![[r#"
        list: has no [[key]], so no ticket could be sealed
        first.toml:1: rule[0].then: is missing
        second.toml:1: key[0].secret: is missing
        second.toml:2: key[0].id: must be from 1 to 4294967295
        4 findings
        exit code 1
    "#]]
    .assert_eq(&folder.run(&["check", "rules", &first, &second]));
    expect![[r#"
        {
          "findings": [
            {
              "key": "",
              "line": 0,
              "source": "list",
              "text": "has no [[key]], so no ticket could be sealed"
            },
            {
              "key": "key[0].secret",
              "line": 1,
              "source": "second.toml",
              "text": "is missing"
            },
            {
              "key": "key[0].id",
              "line": 2,
              "source": "second.toml",
              "text": "must be from 1 to 4294967295"
            }
          ],
          "summary": "",
          "warnings": []
        }
        exit code 1
    "#]]
    .assert_eq(&folder.run(&["--format", "json", "check", "rules", &second]));
}

// Guards against a daemon that serves callers with the settings of a trial.
#[test]
fn warns_about_trial_settings() {
    let folder = FileFolder::new("warnings");
    let good = std::fs::read_to_string(example_path("foxledged.toml")).unwrap();
    let trial = good
        .replace("run_once = true", "run_once = false")
        .replace("routes = {}", "routes = { \"10.0.1.12:7001\" = \"10.0.1.99:9001\" }");
    let settings = folder.write("trial.toml", &trial);
    expect![[r#"
        good: instance toledo-1 in toledo
        warning: trial.run_once is off: only for proving that it matters
        warning: trial.routes is set: only for tests
        exit code 0
    "#]]
    .assert_eq(&folder.run(&["check", "settings", &settings]));
}

// Guards against findings that follow only from a file that can't be read.
#[test]
fn reports_a_missing_file_as_the_only_finding() {
    let folder = FileFolder::new("missing");
    let missing = folder.0.join("missing.toml").display().to_string();
    expect![[r#"
        missing.toml: can't be read: No such file or directory (os error 2)
        1 finding
        exit code 1
    "#]]
    .assert_eq(&folder.run(&["check", "settings", &missing]));
    let rules = example_path("lakeshore-rules.toml");
    expect![[r#"
        missing.toml: can't be read: No such file or directory (os error 2)
        1 finding
        exit code 1
    "#]]
    .assert_eq(&folder.run(&["check", "rules", &rules, &missing]));
}
