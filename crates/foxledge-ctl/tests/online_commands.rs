//! The commands that call a daemon, against a daemon with canned replies.

mod canned;
mod common;

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use canned::{start_daemon, status_report};
use common::run_to_text;
use expect_test::{Expect, expect};
use serde_json::Value;
use tonic::transport::Server;

/// Returns an entry number above those of all canned audit entries.
fn no_entry_limit() -> Arc<AtomicU64> {
    Arc::new(AtomicU64::new(u64::MAX))
}

/// Runs a command against a canned daemon and compares its output.
fn check_output(arguments: &[&str], text: Expect) {
    let address = start_daemon(Server::builder(), no_entry_limit()).to_string();
    let output = run_to_text(&[arguments, &["--daemon", &address]].concat());
    text.assert_eq(&output.replace(&address, "DAEMON"));
}

/// Runs `explain` against a canned daemon and compares its output.
fn check_explanation(address: &str, member: &str, more: &[&str], text: Expect) {
    let arguments = ["explain", "--kind", "bid", "--address", address, "--member", member];
    check_output(&[&arguments[..], more].concat(), text);
}

#[test]
fn prints_status_as_text() {
    check_output(
        &["status"],
        expect![[r#"
            toledo-1 in toledo: serving
            incarnation: 123456789abcdef0
            up: 1 h 2 min
            reads the platform: yes
            rule list: revision 12, digest 00000000000000ff
            instances of the data centre:
              name       state    incarnation       data            peer            control
              toledo-1   alive    123456789abcdef0  10.0.1.11:7000  10.0.1.11:7001  10.0.1.11:7002
              toledo-10  suspect  123456789abcdef0  10.0.1.11:7100  10.0.1.11:7101  10.0.1.11:7102
            reachable data centres: erie toledo
            parts:
              part      running  restarts
              listener  yes      0
              engine    no       2
            engine:
              keys: 1 2
              open works: 3
              desks:
                key: service=auction-desk shard=0
                desk:
                  queued: 1
                  targets:
                    name  busy  ejected
                    a1    2     no
                    a10   0     yes
            weather: fine
            exit code 0
        "#]],
    );
}

#[test]
fn prints_status_as_json() {
    let address = start_daemon(Server::builder(), no_entry_limit()).to_string();
    let output = common::run(&["status", "--format", "json", "--daemon", &address]);
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report, status_report());
}

#[test]
fn prints_explanations_of_flows() {
    check_explanation(
        "auction",
        "bricks",
        &["--flow", "0x1f"],
        expect![[r#"
            rule list: revision 12
            rule: bid-rule
            treatment: serve, member limit 0, priority 5
            service: auction-desk
            shard: 0
            homes, the best first: toledo-1 toledo-2
            backend servers here: a1 a2
            last dispatched to: a2
            why:
              1. the rule matches
              2. a2 has the most free slots
            lately decided for the flow:
              at (s)    request  decision
              1.500000  31       dispatched to a2
            exit code 0
        "#]],
    );
    check_explanation(
        "auction",
        "nobody",
        &[],
        expect![[r#"
            rule list: revision 12
            rule: none matches
            why:
              1. nobody is no member
            exit code 0
        "#]],
    );
    check_explanation(
        "nowhere",
        "bricks",
        &[],
        expect![[r#"
        foxledgectl: DAEMON refused: no such address
        exit code 3
    "#]],
    );
}

#[test]
fn prints_audit_entries_of_several_pages() {
    check_output(
        &["audit"],
        expect![[r#"
            3 at 3.001500 s, list 12: process changed toledo-1: serving
            4 at 4.002000 s, list 12: list accepted list: 11 -> 12; because newer; said by platform
            ... 2 dropped unread
            7 at 7.003500 s, list 12: target ejected auction-desk/a1: ejected; because 2 losses; said by observation
            8 at 8.004000 s, list 12: member changed toledo-2: no longer alive; said by toledo-3
            9 at 9.004500 s, list 12: keys rotated keys; said by platform
            exit code 0
        "#]],
    );
    check_output(
        &["audit", "--limit", "1", "--format", "json"],
        expect![[r#"
        {"at_us":9004500,"cause":"","kind":"keys_rotated","new":"","number":9,"old":"","revision":12,"source":"platform","subject":"keys"}
        exit code 0
    "#]],
    );
    check_output(
        &["audit", "--after", "9"],
        expect![[r#"
        exit code 0
    "#]],
    );
}

#[test]
fn follows_new_audit_entries() {
    let newest = Arc::new(AtomicU64::new(4));
    let address = start_daemon(Server::builder(), newest.clone()).to_string();
    let mut child = Command::new(env!("CARGO_BIN_EXE_foxledgectl"))
        .args(["audit", "--follow", "--limit", "1", "--daemon", &address])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    newest.store(7, Ordering::SeqCst);
    let gap = lines.next().unwrap().unwrap();
    let second = lines.next().unwrap().unwrap();
    newest.store(8, Ordering::SeqCst);
    let third = lines.next().unwrap().unwrap();
    child.kill().unwrap();
    child.wait().unwrap();
    expect![[r#"
        4 at 4.002000 s, list 12: list accepted list: 11 -> 12; because newer; said by platform
        ... 2 dropped unread
        7 at 7.003500 s, list 12: target ejected auction-desk/a1: ejected; because 2 losses; said by observation
        8 at 8.004000 s, list 12: member changed toledo-2: no longer alive; said by toledo-3"#]].assert_eq(&[first, gap, second, third].join("\n"));
}

#[test]
fn reports_a_declined_drain_with_exit_code_1() {
    check_output(
        &["drain"],
        expect![[r#"
        The daemon declined.
        exit code 1
    "#]],
    );
}

// Guards against a tool that hangs for ever on a call without a deadline: the process of the
// daemon is frozen while its port still accepts connections.
#[test]
fn times_out_when_the_daemon_does_not_reply() {
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = frozen.local_addr().unwrap().to_string();
    let arguments = ["status", "--wait-ms", "300", "--daemon", &address];
    expect![[r#"
        foxledgectl: no answer from DAEMON within 300 ms
        exit code 3
    "#]]
    .assert_eq(&run_to_text(&arguments).replace(&address, "DAEMON"));
    drop(frozen);
    let output = common::run(&arguments);
    assert_eq!(output.status.code(), Some(3));
}
