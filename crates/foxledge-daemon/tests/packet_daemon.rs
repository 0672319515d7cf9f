//! The packet path as a process: start, queries of operators, signals.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Result, bail};
use foxledge_fakes::harness::{
    START_LIMIT, binary_path, free_address, http, make_directory, wait_until,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

struct PacketProcess {
    child: Child,
    admin: SocketAddr,
    data: SocketAddr,
    peer: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl PacketProcess {
    /// Starts an instance whose store is unreachable.
    fn start() -> Result<PacketProcess> {
        PacketProcess::start_with("")
    }

    /// Starts an instance with more lines in the `[listen]` table.
    fn start_with(listen: &str) -> Result<PacketProcess> {
        PacketProcess::start_settings(listen, "")
    }

    /// Starts an instance with more lines in the `[listen]` table and more tables.
    fn start_settings(listen: &str, sections: &str) -> Result<PacketProcess> {
        let directory = make_directory()?;
        let [admin, data, peer, store] = [(); 4].map(|()| free_address());
        let (admin, data, peer) = (admin?, data?, peer?);
        let settings = directory.join("packets.toml");
        let text = format!(
            "[instance]\nname = \"one\"\ndata_centre = \"toledo\"\n[listen]\ndata = \"{data}\"\n\
             peer = \"{peer}\"\nadmin = \"{admin}\"\n{listen}\n[store]\naddress = \"{}\"\n[stop]\nlimit_s = 4\n{sections}",
            store?
        );
        fs::write(&settings, text)?;
        let log = directory.join("packets.log");
        let child = Command::new(binary_path("foxledged")?)
            .args(["packets", "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(fs::File::create(&log)?)
            .spawn()?;
        let process = PacketProcess { child, admin, data, peer, settings, log };
        wait_until("the admin port responds", START_LIMIT, || process.get("/healthz").is_some())?;
        Ok(process)
    }

    fn get(&self, path: &str) -> Option<String> {
        http::get(self.admin, path).ok().map(|answer| answer.body)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let Some(pid) = Pid::from_raw(self.child.id() as i32) else { bail!("no process") };
        Ok(kill_process(pid, signal)?)
    }

    fn events(&self) -> Result<Vec<Value>> {
        let text = fs::read_to_string(&self.log)?;
        Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
    }

    fn has_event(&self, name: &str) -> bool {
        self.events().is_ok_and(|events| events.iter().any(|event| event["event"] == name))
    }
}

impl Drop for PacketProcess {
    fn drop(&mut self) {
        // Both fail when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn is_unready_without_store() -> Result<()> {
    let process = PacketProcess::start()?;
    let answer = http::get(process.admin, "/healthz")?;
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("joining"));
    let status: Value = serde_json::from_str(&process.get("/status").unwrap_or_default())?;
    assert_eq!(status["instance"], "one");
    assert_eq!(status["list"]["revision"], 0);
    let metrics = process.get("/metrics").unwrap_or_default();
    assert!(metrics.contains("foxledge_list_age_milliseconds -1"), "{metrics}");
    wait_until("the lost store is logged", START_LIMIT, || process.has_event("store_lost"))?;
    Ok(())
}

#[test]
fn explains_flow_without_route() -> Result<()> {
    let process = PacketProcess::start()?;
    let path = "/explain?caller=100.64.0.7:40001&service=198.18.0.1:443";
    let report: Value = serde_json::from_str(&process.get(path).unwrap_or_default())?;
    assert_eq!(report["flow"], "100.64.0.7:40001>198.18.0.1:443");
    assert_eq!(report["route"], Value::Null);
    Ok(())
}

#[test]
fn counts_malformed_datagrams() -> Result<()> {
    let process = PacketProcess::start()?;
    let socket = UdpSocket::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
    for size in [0, 1, 31, 33, 1_500] {
        socket.send_to(&vec![7; size], process.data)?;
    }
    wait_until("all are counted", START_LIMIT, || {
        let metrics = process.get("/metrics").unwrap_or_default();
        let counts = metrics.lines().filter(|line| line.starts_with("foxledge_malformed_total{"));
        let counts = counts.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        counts.sum::<u64>() == 5
    })?;
    assert!(process.get("/healthz").is_some());
    Ok(())
}

#[test]
fn logs_changes_of_reload_and_refuses_bad_file() -> Result<()> {
    let process = PacketProcess::start()?;
    let text = fs::read_to_string(&process.settings)?;
    fs::write(&process.settings, text.replace("limit_s = 4", "limit_s = 5"))?;
    process.signal(Signal::HUP)?;
    wait_until("the reload is logged", START_LIMIT, || process.has_event("reloaded"))?;
    let events = process.events()?;
    let reloaded = events.iter().find(|event| event["event"] == "reloaded");
    let changes = reloaded.map(|event| event["changes"].to_string()).unwrap_or_default();
    assert!(changes.contains("stop.limit_s: 4000 to 5000"), "{changes}");
    fs::write(&process.settings, "[instance]")?;
    process.signal(Signal::HUP)?;
    wait_until("the bad file is refused", START_LIMIT, || process.has_event("reload_refused"))?;
    Ok(())
}

// Guards against a published figure without a usable value that keeps the instance from starting.
#[test]
fn starts_with_unusable_figure() -> Result<()> {
    let process = PacketProcess::start_settings("", "[cold]\noverrun = true\nslack = 5.5\n")?;
    wait_until("the figure is named", START_LIMIT, || process.has_event("setting_replaced"))
}

// Guards against limits of cold backend servers that differ between restarted instances and those
// that reloaded their settings.
#[test]
fn reload_changes_cold_limits() -> Result<()> {
    let process = PacketProcess::start_settings("", "[cold]\nslack = 5.5\n")?;
    let logged = |text: &str| {
        let events = process.events().unwrap_or_default();
        events.iter().any(|event| event.to_string().contains(text))
    };
    let text = fs::read_to_string(&process.settings)?;
    fs::write(&process.settings, text.replace("slack = 5.5", "slack = 2.5"))?;
    process.signal(Signal::HUP)?;
    wait_until("the change is logged", START_LIMIT, || logged("cold.slack: 5.5 to 2.5"))?;
    // What is in force is what the next reload is compared with.
    process.signal(Signal::HUP)?;
    wait_until("nothing has changed", START_LIMIT, || logged("\"changes\":[]"))
}

#[test]
fn ignores_second_signal_during_stop() -> Result<()> {
    let mut process = PacketProcess::start()?;
    process.signal(Signal::TERM)?;
    wait_until("the stop begins", START_LIMIT, || process.has_event("stop_begun"))?;
    process.signal(Signal::TERM)?;
    wait_until("the second is ignored", START_LIMIT, || process.has_event("signal_ignored"))?;
    let end = Instant::now() + Duration::from_secs(30);
    let status = loop {
        match process.child.try_wait()? {
            Some(status) => break status,
            None if Instant::now() > end => bail!("the process doesn't stop"),
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    assert!(status.success());
    assert!(process.has_event("stopped"));
    Ok(())
}

// Guards against an instance that doesn't start because another program uses the port for
// metrics, although callers can be served without it.
#[test]
fn starts_when_metrics_port_is_taken() -> Result<()> {
    let taken = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
    let address = taken.local_addr()?;
    let process = PacketProcess::start_with(&format!("metrics = \"{address}\""))?;
    wait_until("the port is named", START_LIMIT, || process.has_event("metrics_unavailable"))?;
    let events = process.events()?;
    let line = events.iter().find(|event| event["event"] == "metrics_unavailable");
    let error = line.and_then(|line| line["error"].as_str()).unwrap_or_default();
    assert!(error.contains(&format!("{address} (listen.metrics)")), "{error}");
    // The admin address still serves the metrics.
    assert!(process.get("/metrics").is_some_and(|text| text.contains("foxledge_")));
    Ok(())
}

// Guards against load sharing, or metrics of it, that are active without the settings.
#[test]
fn sends_no_load_unless_enabled() -> Result<()> {
    let metrics = |process: &PacketProcess| process.get("/metrics").unwrap_or_default();
    let unsent = "foxledge_load_messages_total 0";
    let process = PacketProcess::start()?;
    assert!(metrics(&process).contains(unsent));
    assert!(metrics(&process).contains("foxledge_load_view_age_milliseconds -1"));
    let text = fs::read_to_string(&process.settings)?;
    fs::write(&process.settings, format!("{text}[load]\nenabled = true\n"))?;
    process.signal(Signal::HUP)?;
    wait_until("the reload is logged", START_LIMIT, || process.has_event("reloaded"))?;
    let events = process.events()?;
    let reloaded = events.iter().find(|event| event["event"] == "reloaded");
    let changes = reloaded.map(|event| event["changes"].to_string()).unwrap_or_default();
    assert!(changes.contains("load.enabled: false to true"), "{changes}");
    let status: Value = serde_json::from_str(&process.get("/status").unwrap_or_default())?;
    assert_eq!(status["routing"]["loads"], Value::Array(Vec::new()));
    Ok(())
}

// Guards against instances that don't report their load to each other.
#[test]
fn instances_send_load_reports() -> Result<()> {
    let load = "[load]\nenabled = true\n[admission]\nenabled = true\n";
    let first = PacketProcess::start_settings("", load)?;
    let seed = format!("[peers]\nseeds = [\"{}\"]\n{load}", first.peer);
    let second = PacketProcess::start_settings("", &seed)?;
    for process in [&first, &second] {
        wait_until("load reports are sent", START_LIMIT, || {
            let text = process.get("/metrics").unwrap_or_default();
            let mut lines = text.lines();
            let sent = lines.find_map(|line| line.strip_prefix("foxledge_load_messages_total "));
            sent.is_some_and(|count| count != "0")
        })?;
    }
    Ok(())
}

// Guards against messages of other instances that wait in the socket for the next one: a burst is read
// in batches, and the socket tells of arrivals only.
#[test]
fn reads_whole_burst_of_messages() -> Result<()> {
    const BURST: u64 = 250;
    let process = PacketProcess::start()?;
    let socket = UdpSocket::bind(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
    let label = "foxledge_malformed_total{fault=\"message\"} ";
    // The stop is shorter than what counts as a pause, after which messages are discarded.
    process.signal(Signal::STOP)?;
    for _ in 0..BURST {
        socket.send_to(&[7; 40], process.peer)?;
    }
    process.signal(Signal::CONT)?;
    wait_until("all are read", START_LIMIT, || {
        let metrics = process.get("/metrics").unwrap_or_default();
        let count = metrics.lines().find_map(|line| line.strip_prefix(label));
        count.and_then(|count| count.parse().ok()) == Some(BURST)
    })?;
    Ok(())
}
