//! The commands that call a daemon, against running instances.

mod common;

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use common::run_to_text;
use foxledge_core::traffic::TrafficKind;
use foxledge_fakes::{
    harness::{FleetPlan, ServiceSize, TestFleet, TestInstance, wait_until_ok},
    platform::orders::PartText,
    publish::{KeyPlan, MemberPlan},
    report::LoadReport,
};
use foxledge_wire::flow::RefusalReason;
use serde_json::Value;

/// The timeout of every wait. What is waited for takes some seconds at most.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const CENTRE: &str = "toledo";
const SERVICE: &str = "auction-desk";
const ADDRESS: &str = "auction.lakeshore";
const MEMBER: &str = "bricks-and-co";

fn start_fleet() -> Result<TestFleet> {
    let plan = FleetPlan::new()
        .centre(CENTRE, 2)
        .service(SERVICE, ADDRESS, ServiceSize::targets(2))
        .member(MemberPlan::open(MEMBER))
        .settings("[platform]\nwait_ms = 500");
    let fleet = TestFleet::start(plan)?;
    for instance in &fleet.instances {
        wait_until_ok("both instances are known", WAIT_TIMEOUT, || {
            let homes = names(&command_json(instance, &explain_arguments("bid", MEMBER))?["homes"]);
            ensure!(homes.len() == 2, "{homes:?}");
            Ok(())
        })?;
    }
    Ok(fleet)
}

fn run_bids(fleet: &TestFleet) -> Result<LoadReport> {
    let plan = fleet.plan_caller(SERVICE, MEMBER, TrafficKind::Bid)?.rate(20.0).seconds(1.0);
    let report = fleet.run_caller(CENTRE, &plan, WAIT_TIMEOUT)?;
    ensure!(!report.served_ids.is_empty(), "no bid was served");
    Ok(report)
}

/// Runs a command against an instance and returns its output, its errors and a last line with its
/// exit code.
fn run_command(instance: &TestInstance, arguments: &[&str]) -> String {
    let daemon = instance.listen.control.to_string();
    run_to_text(&[arguments, &["--daemon", &daemon]].concat())
}

/// Returns the output of a command that has to succeed.
fn command_text(instance: &TestInstance, arguments: &[&str]) -> Result<String> {
    let text = run_command(instance, arguments);
    let report = text.strip_suffix("exit code 0\n").context("not done");
    report.map(str::to_owned).with_context(|| text.clone())
}

/// Returns the JSON output of a command that has to succeed.
fn command_json(instance: &TestInstance, arguments: &[&str]) -> Result<Value> {
    let text = command_text(instance, &[arguments, &["--format", "json"]].concat())?;
    serde_json::from_str(&text).with_context(|| text.clone())
}

/// Waits until a line of the audit trail contains all texts of `wanted`, and returns the line.
fn wait_line(instance: &TestInstance, wanted: &[&str]) -> Result<String> {
    wait_until_ok(&format!("{wanted:?}"), WAIT_TIMEOUT, || {
        let text = command_text(instance, &["audit", "--limit", "1000"])?;
        let found = text.lines().find(|line| wanted.iter().all(|part| line.contains(part)));
        found.map(str::to_owned).with_context(|| text.clone())
    })
}

/// Returns the arguments of `explain` for a flow of `member`.
fn explain_arguments<'a>(kind: &'a str, member: &'a str) -> [&'a str; 7] {
    ["explain", "--address", ADDRESS, "--member", member, "--kind", kind]
}

fn names(list: &Value) -> Vec<String> {
    let values = list.as_array().into_iter().flatten();
    values.filter_map(Value::as_str).map(str::to_owned).collect()
}

#[test]
fn shows_the_status_of_an_instance() -> Result<()> {
    let fleet = start_fleet()?;
    let instance = &fleet.instances[0];
    let text = wait_until_ok("both instances are alive", WAIT_TIMEOUT, || {
        let text = command_text(instance, &["status"])?;
        let alive = text.lines().filter(|line| line.contains("  alive  ")).count();
        ensure!(alive == 2, "{text}");
        Ok(text)
    })?;
    for wanted in [
        "toledo-1 in toledo: serving\n",
        "reads the platform: yes\n",
        "rule list: revision 1, digest ",
        "  toledo-2  alive",
        "reachable data centres: toledo\n",
        "  engine    yes      0\n",
        "  keys: 1\n",
        "service=auction-desk shard=0\n",
    ] {
        ensure!(text.contains(wanted), "no {wanted:?} in\n{text}");
    }
    let target = text.lines().find(|line| line.contains("  auction-desk-toledo-1  "));
    ensure!(target.is_some_and(|line| line.contains("  open ")), "{text}");

    let report = command_json(instance, &["status"])?;
    ensure!(report["phase"] == "serving" && report["list"]["revision"] == 1, "{report}");
    ensure!(report["view"]["peers"].as_array().map(Vec::len) == Some(2), "{report}");
    Ok(())
}

#[test]
fn explains_the_decision_for_a_flow() -> Result<()> {
    let fleet = start_fleet()?;
    let report = run_bids(&fleet)?;
    let instance = &fleet.instances[0];
    let text = command_text(instance, &explain_arguments("bid", MEMBER))?;
    for wanted in [
        "rule list: revision 1\n",
        "rule: all-auction-desk\n",
        "treatment: serve, ",
        "service: auction-desk\n",
        "homes, the best first: toledo-",
        "backend servers here: auction-desk-toledo-1@",
        "  1. rule all-auction-desk is the first that matches\n",
    ] {
        ensure!(text.contains(wanted), "no {wanted:?} in\n{text}");
    }
    let text = command_text(instance, &explain_arguments("bid", "nobody"))?;
    ensure!(text.contains("member nobody is not listed, so the flow is refused"), "{text}");

    // The home of the flow records the decision. It is the first home that `explain` lists at any
    // instance.
    let homes = names(&command_json(instance, &explain_arguments("bid", MEMBER))?["homes"]);
    let home = fleet.instances.iter().find(|instance| Some(&instance.name) == homes.first());
    let home = home.with_context(|| format!("{homes:?}"))?;
    let flow = format!("{:016x}", report.served_ids[0].flow);
    let flow_arguments = [&explain_arguments("bid", MEMBER)[..], &["--flow", &flow]].concat();
    let text = command_text(home, &flow_arguments)?;
    for wanted in [
        "chosen here by policy freest, ",
        "  auction-desk-toledo-1  open ",
        "last dispatched to: auction-desk-toledo-",
        "lately decided for the flow:\n",
        "dispatched ",
        " to auction-desk-toledo-",
    ] {
        ensure!(text.contains(wanted), "no {wanted:?} in\n{text}");
    }
    let report = command_json(home, &flow_arguments)?;
    let events = report["flow_events"].as_array().context("no events")?;
    ensure!(!events.is_empty() && report["target"].is_string(), "{report}");
    Ok(())
}

#[test]
fn shows_published_changes_in_the_audit_trail() -> Result<()> {
    let mut fleet = start_fleet()?;
    run_bids(&fleet)?;
    wait_line(&fleet.instances[0], &["list accepted", "revision 1 (", "said by "])?;

    // An invalid list is refused with its finding, and the previous list stays active.
    let broken = "[[rule]]\nname = \"broken\"\nthen = { service = \"nowhere\" }\n".to_owned();
    fleet.list.more.push(PartText { name: "late".to_owned(), text: broken });
    let refused = fleet.publish()?;
    let wanted = format!("revision {refused} (");
    let finding = "late:3: rule[0].then.service: no service \"nowhere\"";
    let line = wait_line(&fleet.instances[0], &["list refused", &wanted, finding])?;
    ensure!(line.contains(", list 1: "), "{line}");
    let report = command_json(&fleet.instances[0], &["status"])?;
    ensure!(report["list"]["revision"] == 1, "{report}");
    fleet.list.more.clear();

    let target = fleet.list.target_mut("auction-desk-toledo-1").context("no target")?;
    target.draining = true;
    fleet.list.keys.push(KeyPlan::numbered(2));
    let accepted = fleet.publish()?;
    let new = format!("-> revision {accepted} (");
    let instance = &fleet.instances[0];
    wait_line(instance, &["list accepted rule list: revision 1 (", &new, "said by "])?;
    wait_line(instance, &["target draining auction-desk", "toledo-1: ", "-> draining"])?;
    wait_line(instance, &["keys rotated token keys: [1] -> [1, 2]"])?;

    let lines = command_text(instance, &["audit", "--limit", "1000", "--format", "json"])?;
    let entries = lines.lines().map(serde_json::from_str).collect::<Result<Vec<Value>, _>>()?;
    let numbers: Vec<_> = entries.iter().map(|entry| entry["number"].as_u64()).collect();
    ensure!(numbers.is_sorted() && numbers.first() == Some(&Some(1)), "{numbers:?}");
    let wanted = ["old", "new", "cause", "source", "revision", "at_us", "kind", "subject"];
    let is_whole = |entry: &Value| wanted.iter().all(|key| !entry[*key].is_null());
    ensure!(entries.iter().all(is_whole), "{lines}");
    Ok(())
}

// Guards against a published list that is ignored without an entry in the audit trail: the
// platform is restarted from an older state, and the list gets a revision below the active one.
// The watch that reads the older revision reported it only in the log.
#[test]
fn audits_a_list_with_an_older_revision() -> Result<()> {
    let mut fleet = start_fleet()?;
    let target = fleet.list.target_mut("auction-desk-toledo-1").context("no target")?;
    target.slots = 3;
    let newest = fleet.publish()?;
    let instance = &fleet.instances[0];
    wait_line(instance, &["list accepted", &format!("-> revision {newest} (")])?;
    fleet.platform.client.rewind(1)?;
    let change = format!("list ignored rule list: revision {newest} -> revision 1; ");
    wait_line(instance, &[&change, "because the platform is at an older revision"])?;

    // The operator recovers by publishing until the revision is above the active one.
    let mut published = 1;
    while published <= newest {
        published = fleet.publish()?;
    }
    wait_line(instance, &["list accepted", &format!("-> revision {published} (")])?;
    Ok(())
}

// Guards against a metric, an event, a refusal reason or a kind of audit entry that is added to
// the code and not to the page for operators.
#[test]
fn documents_all_metrics_refusal_reasons_and_audit_kinds() -> Result<()> {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(page)?;
    let fleet = start_fleet()?;
    run_bids(&fleet)?;
    let metrics = fleet.instances[0].metrics()?;
    let mut words = Vec::new();
    for line in metrics.lines() {
        words.extend(line.strip_prefix("# TYPE ").and_then(|rest| rest.split(' ').next()));
        words.extend(line.split("event=\"").nth(1).and_then(|rest| rest.split('"').next()));
    }
    ensure!(words.len() > 20, "{words:?}");
    let words = words.into_iter().map(str::to_owned);
    let reasons = (1..).map_while(|number| RefusalReason::try_from(number).ok());
    let reasons = reasons.filter_map(|reason| {
        reason.as_str_name().strip_prefix("REFUSAL_REASON_").map(str::to_owned)
    });
    let entries = command_text(&fleet.instances[0], &["audit", "--format", "json"])?;
    let kinds = entries.lines().filter_map(|line| {
        let entry: Value = serde_json::from_str(line).ok()?;
        entry["kind"].as_str().map(str::to_owned)
    });
    for word in words.chain(reasons).chain(kinds) {
        ensure!(page.contains(&format!("`{word}`")), "OPERATIONS.md lacks {word}");
    }
    Ok(())
}

#[test]
fn drains_an_instance_that_leaves() -> Result<()> {
    let mut fleet = start_fleet()?;
    let new = fleet.add_instance(CENTRE)?;
    wait_line(&fleet.instances[0], &["member changed toledo-3: ", "-> alive"])?;

    let text = command_text(&fleet.instances[new], &["drain"])?;
    ensure!(text == "The daemon leaves.\n", "{text}");
    let text = run_command(&fleet.instances[new], &["drain", "--format", "json"]);
    // The daemon may have stopped before the second call.
    let is_declined = text == "{\n  \"accepted\": false\n}\nexit code 1\n";
    ensure!(is_declined || text.ends_with("exit code 3\n"), "{text}");
    let status = fleet.instances[new].process.wait_exit(WAIT_TIMEOUT)?;
    ensure!(status.success(), "{status}");
    wait_line(&fleet.instances[0], &["member changed toledo-3: alive -> leaving"])?;
    let log = fleet.instances[new].process.log_text();
    for wanted in ["planned stop (operator)", "life: stops with 0 unfinished", "daemon: stopped"] {
        ensure!(log.contains(wanted), "no {wanted:?} in\n{log}");
    }

    let text = run_command(&fleet.instances[new], &["status"]);
    ensure!(text.starts_with("foxledgectl: can't connect to "), "{text}");
    ensure!(text.ends_with("exit code 3\n"), "{text}");
    Ok(())
}
