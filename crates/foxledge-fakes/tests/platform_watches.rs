//! The platform's contract over time: watches, the ration, failures, and operators at once.

use std::{
    thread,
    time::{Duration, Instant},
};

use foxledge_fakes::{
    harness::{TestPlatform, make_directory, wait_until},
    platform::orders::{PartText, PlatformHealth, PlatformOrder},
};
use foxledge_wire::control::{ReadReply, ReadRequest, platform_client::PlatformClient};
use tokio::{runtime::Builder, time::timeout};
use tonic::{Code, Status};

const WIDE_LIMIT: Duration = Duration::from_secs(20);

#[test]
fn a_watch_answers_when_a_value_comes() {
    let platform = start(2000);
    let watch = spawn_read(&platform, 0, 15_000);
    wait_calls(&platform, 1);
    platform.client.publish_list(parts("a = 1")).expect("published");
    let reply = watch.join().expect("watch").expect("reply");
    assert_eq!((reply.found, reply.revision, reply.unchanged), (true, 1, false));
    let report = platform.client.report().expect("report");
    assert_eq!(report.total().calls, 1, "a waiting watch counts as one call");
}

#[test]
fn a_watch_ends_unchanged() {
    let platform = start(2000);
    platform.client.publish_list(parts("a = 1")).expect("published");
    let began = Instant::now();
    let reply = spawn_read(&platform, 1, 300).join().expect("watch").expect("reply");
    assert!(began.elapsed() >= Duration::from_millis(300));
    assert_eq!((reply.found, reply.revision, reply.unchanged), (true, 1, true));
}

#[test]
fn an_answer_can_be_delayed() {
    let platform = start(2000);
    platform.client.publish_list(parts("a = 1")).expect("published");
    platform.client.set_delay(250).expect("delay");
    let began = Instant::now();
    spawn_read(&platform, 0, 0).join().expect("read").expect("reply");
    assert!(began.elapsed() >= Duration::from_millis(250));
}

// Symptom: a watch hangs although the platform has gone down.
// Sequence: a reader waits; the platform goes down; the reader must learn it at once.
// Cause: a waiting call that looks at values only, never at the platform's health. The watch's own
// wait is far longer than the limit of the test.
#[test]
fn going_down_ends_waiting_watches() {
    let platform = start(2000);
    let watch = spawn_read(&platform, 0, 60_000);
    wait_calls(&platform, 1);
    platform.client.set_health(PlatformHealth::Down).expect("down");
    let status = watch.join().expect("watch").expect_err("failure");
    assert_eq!(status.code(), Code::Unavailable);
    let status = spawn_read(&platform, 0, 0).join().expect("read").expect_err("failure");
    assert_eq!(status.code(), Code::Unavailable);
    platform.client.set_health(PlatformHealth::Up).expect("up");
    spawn_read(&platform, 0, 0).join().expect("read").expect("an answer after the outage");
}

// Symptom: a reader without a deadline of its own waits for ever.
// Sequence: the platform takes a call and says nothing; later it speaks again.
// Cause: the call outlives its wait, as on a host that hangs.
#[test]
fn a_silent_platform_answers_later() {
    let platform = start(2000);
    platform.client.publish_list(parts("a = 1")).expect("published");
    platform.client.set_health(PlatformHealth::Silent).expect("silent");
    let read = spawn_read(&platform, 0, 0);
    wait_calls(&platform, 1);
    assert!(!read.is_finished());
    platform.client.set_health(PlatformHealth::Up).expect("up");
    assert_eq!(read.join().expect("read").expect("reply").revision, 1);
}

#[test]
fn reads_are_rationed_over_all_readers() {
    const RATION: u32 = 100;
    const READS: usize = 300;
    let platform = start(RATION);
    let began = Instant::now();
    let outcomes = read_many(&platform, READS);
    let seconds = began.elapsed().as_secs_f64();
    let granted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    let refused: Vec<_> = outcomes.iter().filter_map(|outcome| outcome.as_ref().err()).collect();
    assert!(refused.iter().all(|status| status.code() == Code::ResourceExhausted));
    // A tenth of a second's ration may come at once.
    let most = f64::from(RATION) * (seconds + 0.1) + 1.0;
    assert!(granted >= 1 && granted as f64 <= most, "{granted} granted in {seconds} s");
    assert!(!refused.is_empty());
    let total = platform.client.report().expect("report").total();
    assert_eq!((total.calls, total.rationed), (READS as u64, refused.len() as u64));
    let again = || spawn_read(&platform, 0, 0).join().expect("read").is_ok();
    wait_until("a read within the ration", WIDE_LIMIT, again).expect("granted again");
}

// Symptom: two lists under one revision, or a revision that is never seen.
// Sequence: two operators publish at the same time, many times.
// Cause: a revision that is drawn before the write is done.
#[test]
fn operators_at_once_get_revisions_in_order() {
    const LISTS: u64 = 25;
    let platform = start(2000);
    let publishers = ["one", "two"].map(|operator| {
        let client = platform.client.clone();
        thread::spawn(move || {
            let publish = |number| client.publish_list(parts(&format!("{operator} = {number}")));
            (0..LISTS).map(|number| publish(number).expect("published")).collect::<Vec<u64>>()
        })
    });
    let revisions = publishers.map(|publisher| publisher.join().expect("publisher"));
    assert!(revisions.iter().all(|seen| seen.is_sorted()));
    let mut all = revisions.concat();
    all.sort_unstable();
    assert_eq!(all, (1..=2 * LISTS).collect::<Vec<u64>>());
}

#[test]
fn unknown_orders_are_refused() {
    let platform = start(2000);
    let client = foxledge_fakes::control::LineClient::new(platform.client.address());
    let order = serde_json::json!({ "do": "explode" });
    let error = client.ask::<_, serde_json::Value>(&order).expect_err("refused");
    assert!(format!("{error:#}").contains("unknown variant"), "{error:#}");
    let ahead = platform.client.order(&PlatformOrder::Rewind { revision: 5 });
    assert!(format!("{:#}", ahead.expect_err("refused")).contains("lies ahead"));
}

type ReadOutcome = Result<ReadReply, Status>;

fn start(ration: u32) -> TestPlatform {
    let directory = make_directory().expect("directory");
    TestPlatform::start(ration, &directory).expect("platform")
}

fn parts(text: &str) -> Vec<PartText> {
    vec![PartText { name: "rules".to_owned(), text: text.to_owned() }]
}

fn wait_calls(platform: &TestPlatform, calls: u64) {
    let counted = || platform.client.report().is_ok_and(|report| report.total().calls == calls);
    wait_until("calls counted", WIDE_LIMIT, counted).expect("calls");
}

fn spawn_read(
    platform: &TestPlatform,
    after_revision: u64,
    wait_ms: u32,
) -> thread::JoinHandle<ReadOutcome> {
    let url = format!("http://{}", platform.address);
    let request =
        ReadRequest { key: "manifest".to_owned(), after_revision, wait_ms, reader: "r".to_owned() };
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
        runtime.block_on(async {
            let mut client = PlatformClient::connect(url).await.expect("connection");
            let reply = timeout(WIDE_LIMIT, client.read(request)).await.expect("in time");
            reply.map(tonic::Response::into_inner)
        })
    })
}

/// Many reads by two readers over one connection.
fn read_many(platform: &TestPlatform, count: usize) -> Vec<ReadOutcome> {
    let runtime = Builder::new_current_thread().enable_all().build().expect("runtime");
    let url = format!("http://{}", platform.address);
    runtime.block_on(async {
        let mut client = PlatformClient::connect(url).await.expect("connection");
        let mut outcomes = Vec::new();
        for number in 0..count {
            let reader = format!("reader-{}", number % 2);
            let request = ReadRequest { key: "manifest".to_owned(), reader, ..Default::default() };
            outcomes.push(client.read(request).await.map(tonic::Response::into_inner));
        }
        outcomes
    })
}
