//! What a caller process is told at its start.

use std::net::SocketAddr;

use anyhow::{Context, bail};
use foxledge_core::{
    names::{MemberName, ServiceAddress, ServiceName},
    traffic::TrafficKind,
};

/// `LoadOptions` is which load one process makes.
///
/// Processes that run at the same time need different seeds unless member, address or kind
/// differ: flow ids are drawn from these four.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where datagrams are sent to: a fabric or an instance.
    pub fabric: SocketAddr,
    /// Service address that is asked for.
    pub address: ServiceAddress,
    /// Member that the callers belong to.
    pub member: MemberName,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// Arrivals a second.
    pub rate: f64,
    /// How long work arrives, in seconds.
    pub seconds: f64,
    /// Seed of arrivals, ids and payloads.
    pub seed: u64,
    /// The member's secret, for credentials.
    pub secret: Option<Vec<u8>>,
    /// Service that must answer; `None` takes the first answer's.
    pub service: Option<ServiceName>,
    /// Feeds held open besides.
    pub feeds: u32,
    /// Size of an upload in KiB.
    pub upload_kb: u32,
    /// Whether work may run twice.
    pub idempotent: bool,
    /// How long a caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Simulated callers.
    pub callers: u32,
    /// Requests after which a caller takes a new flow; 0 means never.
    pub flow_requests: u64,
    /// Spans with another rate.
    pub bursts: Vec<BurstSpan>,
}

/// `BurstSpan` is a span of the load with a multiplied rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstSpan {
    /// Its start, in seconds since the load began.
    pub start: f64,
    /// Its length in seconds.
    pub length: f64,
    /// Multiplies the rate.
    pub factor: f64,
}

impl BurstSpan {
    /// Reads `START:LENGTH:FACTOR`.
    pub fn parse(text: &str) -> anyhow::Result<BurstSpan> {
        let words: Vec<_> = text.split(':').collect();
        let [start, length, factor] = words.as_slice() else {
            bail!("burst \"{text}\" isn't START:LENGTH:FACTOR");
        };
        let number = |word: &str| -> anyhow::Result<f64> {
            let value: f64 = word.parse().with_context(|| format!("burst \"{text}\""))?;
            if !value.is_finite() || value < 0.0 {
                bail!("burst \"{text}\" has a number below 0");
            }
            Ok(value)
        };
        Ok(BurstSpan { start: number(start)?, length: number(length)?, factor: number(factor)? })
    }
}

impl LoadOptions {
    /// Makes options with the defaults of the command line.
    pub fn new(fabric: SocketAddr, address: &str, member: &str, kind: TrafficKind) -> LoadOptions {
        LoadOptions {
            fabric,
            address: ServiceAddress::new(address),
            member: MemberName::new(member),
            kind,
            rate: 10.0,
            seconds: 1.0,
            seed: 1,
            secret: None,
            service: None,
            feeds: 0,
            upload_kb: 64,
            idempotent: false,
            deadline_ms: 2000,
            callers: 16,
            flow_requests: 0,
            bursts: Vec::new(),
        }
    }

    /// Sets arrivals a second.
    pub fn rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets how long work arrives.
    pub fn seconds(mut self, seconds: f64) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the seed.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the member's secret.
    pub fn secret(mut self, secret: &[u8]) -> Self {
        self.secret = Some(secret.to_vec());
        self
    }

    /// Sets the service that must answer.
    pub fn service(mut self, service: &str) -> Self {
        self.service = Some(ServiceName::new(service));
        self
    }

    /// Sets how many feeds are held open.
    pub fn feeds(mut self, feeds: u32) -> Self {
        self.feeds = feeds;
        self
    }

    /// Sets the size of an upload.
    pub fn upload_kb(mut self, size: u32) -> Self {
        self.upload_kb = size;
        self
    }

    /// Says that work may run twice.
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Sets how long a caller waits.
    pub fn deadline_ms(mut self, millis: u64) -> Self {
        self.deadline_ms = millis;
        self
    }

    /// Sets how many callers are simulated.
    pub fn callers(mut self, callers: u32) -> Self {
        self.callers = callers.max(1);
        self
    }

    /// Sets after how many requests a caller takes a new flow.
    pub fn flow_requests(mut self, requests: u64) -> Self {
        self.flow_requests = requests;
        self
    }

    /// Adds a span with another rate.
    pub fn burst(mut self, burst: BurstSpan) -> Self {
        self.bursts.push(burst);
        self
    }

    /// A load of kind feed has feeds only.
    pub fn settled(mut self) -> Self {
        if self.kind == TrafficKind::Feed {
            self.rate = 0.0;
            self.feeds = self.feeds.max(1);
        }
        self
    }
}
