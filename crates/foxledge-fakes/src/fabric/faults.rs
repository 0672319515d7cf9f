//! The seeded table of faults: what becomes of one packet.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `PacketWay` is the direction that a packet travels in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PacketWay {
    /// From a caller to an instance; on a link, from who opened it to where it leads.
    Forward,
    /// The way back.
    Back,
}

/// `WayPair` is one value for each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WayPair<T> {
    /// Forward.
    pub forward: T,
    /// Back.
    pub back: T,
}

impl<T> WayPair<T> {
    /// The value for one direction.
    pub fn get(&self, way: PacketWay) -> &T {
        match way {
            PacketWay::Forward => &self.forward,
            PacketWay::Back => &self.back,
        }
    }

    /// The value for one direction, to change it.
    pub fn get_mut(&mut self, way: PacketWay) -> &mut T {
        match way {
            PacketWay::Forward => &mut self.forward,
            PacketWay::Back => &mut self.back,
        }
    }
}

/// `LinkPassage` is whether packets pass in one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LinkPassage {
    /// They pass.
    #[default]
    Open,
    /// They vanish.
    Cut,
}

/// `FaultWays` is which directions a fault holds for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultWays {
    /// Both directions.
    #[default]
    Both,
    /// Towards the instance, or along the link.
    Forward,
    /// From the instance, or back along the link.
    Back,
}

impl FaultWays {
    /// True when the fault holds for packets travelling `way`.
    pub fn covers(self, way: PacketWay) -> bool {
        match self {
            FaultWays::Both => true,
            FaultWays::Forward => way == PacketWay::Forward,
            FaultWays::Back => way == PacketWay::Back,
        }
    }
}

impl From<PacketWay> for FaultWays {
    fn from(way: PacketWay) -> FaultWays {
        match way {
            PacketWay::Forward => FaultWays::Forward,
            PacketWay::Back => FaultWays::Back,
        }
    }
}

/// `PacketFaults` is how badly packets fare in one direction; shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PacketFaults {
    /// Share of packets that are lost.
    pub loss: f64,
    /// Shortest delay.
    pub delay_min_ms: u64,
    /// Longest delay; packets drawn with different delays overtake each other.
    pub delay_max_ms: u64,
    /// Share of packets that arrive twice, towards instances at two different ones.
    pub duplicate: f64,
    /// Share of packets held back by `reorder_ms` beyond their delay.
    pub reorder: f64,
    /// How long a reordered packet is held back.
    pub reorder_ms: u64,
}

/// `SilenceKey` is what picks the packets that a silence swallows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilenceKey {
    /// The flow id: the flow stays silent whatever socket its caller uses.
    #[default]
    Flow,
    /// The caller's socket, for sockets seen before the order: a new socket works.
    ///
    /// This is how a network device that lost its table of connections looks from outside.
    OpenSocket,
}

/// `SilenceSpec` is which share of flows or sockets is swallowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SilenceSpec {
    /// Share from 0 to 1, by seeded hash.
    pub share: f64,
    /// Directions swallowed.
    pub ways: FaultWays,
    /// What the share is of.
    pub key: SilenceKey,
}

/// `PacketFate` is what happens to one packet: its copies with their delays; none when lost.
pub type PacketFate = Vec<Duration>;

/// `FaultTable` is every fault in force for one fabric or link, with its seeded generator.
#[derive(Debug)]
pub struct FaultTable {
    seed: u64,
    rng: StdRng,
    faults: WayPair<PacketFaults>,
    passage: WayPair<LinkPassage>,
    cuts: HashMap<SocketAddr, FaultWays>,
    silence: SilenceSpec,
    silent_sockets: HashSet<SocketAddr>,
}

impl FaultTable {
    /// Makes a table without faults.
    pub fn new(seed: u64) -> FaultTable {
        FaultTable {
            seed,
            rng: StdRng::seed_from_u64(seed),
            faults: WayPair::default(),
            passage: WayPair::default(),
            cuts: HashMap::new(),
            silence: SilenceSpec::default(),
            silent_sockets: HashSet::new(),
        }
    }

    /// Replaces the faults of packets in the given directions.
    pub fn set_faults(&mut self, ways: FaultWays, faults: PacketFaults) {
        for way in [PacketWay::Forward, PacketWay::Back] {
            if ways.covers(way) {
                *self.faults.get_mut(way) = faults;
            }
        }
    }

    /// Opens or cuts one direction for every instance.
    pub fn set_passage(&mut self, way: PacketWay, passage: LinkPassage) {
        *self.passage.get_mut(way) = passage;
    }

    /// Cuts one instance off in the given directions.
    pub fn cut(&mut self, instance: SocketAddr, ways: FaultWays) {
        self.cuts.insert(instance, ways);
    }

    /// Ends the cut of one instance.
    pub fn heal(&mut self, instance: SocketAddr) {
        self.cuts.remove(&instance);
    }

    /// Sets the silence; `open_sockets` are the callers' sockets seen so far.
    pub fn set_silence(
        &mut self,
        silence: SilenceSpec,
        open_sockets: impl Iterator<Item = SocketAddr>,
    ) {
        self.silence = silence;
        self.silent_sockets.clear();
        if silence.key == SilenceKey::OpenSocket {
            let seed = self.seed;
            let silent =
                |socket: &SocketAddr| share_of(socket.to_string().as_bytes(), seed) < silence.share;
            self.silent_sockets = open_sockets.filter(silent).collect();
        }
    }

    /// Ends every fault.
    pub fn clear(&mut self) {
        self.set_faults(FaultWays::Both, PacketFaults::default());
        self.cuts.clear();
        self.passage = WayPair::default();
        self.set_silence(SilenceSpec::default(), std::iter::empty());
    }

    /// True when a silence by flow id is in force, so that packets must be read.
    pub fn asks_flow(&self) -> bool {
        self.silence.key == SilenceKey::Flow && self.silence.share > 0.0
    }

    /// True when a packet of this flow and caller's socket is swallowed.
    pub fn is_silent(&self, way: PacketWay, flow: Option<u64>, socket: SocketAddr) -> bool {
        if !self.silence.ways.covers(way) {
            return false;
        }
        match self.silence.key {
            SilenceKey::OpenSocket => self.silent_sockets.contains(&socket),
            SilenceKey::Flow => flow
                .is_some_and(|flow| share_of(&flow.to_le_bytes(), self.seed) < self.silence.share),
        }
    }

    /// True when packets to or from this instance are cut in this direction.
    pub fn is_cut(&self, way: PacketWay, instance: SocketAddr) -> bool {
        *self.passage.get(way) == LinkPassage::Cut
            || self.cuts.get(&instance).is_some_and(|ways| ways.covers(way))
    }

    /// Draws the fate of one packet.
    pub fn draw_fate(&mut self, way: PacketWay) -> PacketFate {
        let faults = *self.faults.get(way);
        if self.draws(faults.loss) {
            return PacketFate::new();
        }
        let copies = if self.draws(faults.duplicate) { 2 } else { 1 };
        (0..copies).map(|_| self.draw_delay(faults)).collect()
    }

    /// Draws `count` of `instances`, different ones as far as there are so many.
    pub fn draw_instances(&mut self, instances: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let different = count.min(instances.len());
        let drawn = rand::seq::index::sample(&mut self.rng, instances.len(), different).into_vec();
        drawn.iter().cycle().take(count).map(|&index| instances[index]).collect()
    }

    fn draw_delay(&mut self, faults: PacketFaults) -> Duration {
        let longest = faults.delay_max_ms.max(faults.delay_min_ms);
        let delay = self.rng.random_range(faults.delay_min_ms * 1000..=longest * 1000);
        let held = if self.draws(faults.reorder) { faults.reorder_ms * 1000 } else { 0 };
        Duration::from_micros(delay + held)
    }

    fn draws(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }
}

/// Place of `bytes` between 0 and 1, the same for one seed.
fn share_of(bytes: &[u8], seed: u64) -> f64 {
    (xxh3_64_with_seed(bytes, seed) >> 11) as f64 / (1_u64 << 53) as f64
}
