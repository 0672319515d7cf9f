//! Which faults come when: a pure function of the seed.

use rand::{Rng, SeedableRng, rngs::StdRng};

/// `SoakOptions` is how large and long a run is.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Decides everything that is left to chance.
    pub seed: u64,
    /// Time with faults, in seconds.
    pub seconds: u64,
    /// Instances in each of the two data centres.
    pub instances: usize,
    /// Callers' addresses in each data centre.
    pub callers: usize,
    /// Mean time between two faults, in milliseconds; 0 for a calm run.
    pub fault_every_ms: u64,
    /// Which faults come.
    pub range: FaultRange,
}

/// `FaultRange` is which faults come. A seed means the same faults for ever, so that one
/// that failed stays as it was: new kinds of faults make a new range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultRange {
    /// Faults of instances, of what they learn from, and of whole backend servers.
    Control,
    /// These, and faults on the way of callers' packets.
    Packets,
    /// These, and faults of backend servers' entries; some callers keep flows for requests
    /// that may not be repeated.
    Entries,
    /// These, and evacuations of data centres.
    Evacuations,
    /// These, and a store that comes back from older copies.
    Restores,
    /// Bursts of load, and instances that are killed or cut off meanwhile. Backend servers have
    /// slots, callers belong to a data centre, and instances share load and refuse new flows.
    Bursts,
}

impl FaultRange {
    /// True when backend servers tell in their entries when they started.
    pub fn includes_start_times(self) -> bool {
        matches!(self, FaultRange::Entries | FaultRange::Evacuations | FaultRange::Restores)
    }

    /// True when backend servers have slots, and instances share load.
    pub fn shares_load(self) -> bool {
        self == FaultRange::Bursts
    }
}

impl SoakOptions {
    /// Options of a run of usual size.
    pub fn new(seed: u64) -> SoakOptions {
        SoakOptions {
            seed,
            seconds: 20,
            instances: 3,
            callers: 4,
            fault_every_ms: 700,
            range: FaultRange::Control,
        }
    }

    /// Sets which faults come.
    pub fn range(mut self, range: FaultRange) -> SoakOptions {
        self.range = range;
        self
    }

    /// Sets the time with faults, in seconds.
    pub fn seconds(mut self, seconds: u64) -> SoakOptions {
        self.seconds = seconds;
        self
    }

    /// Sets the number of instances in each data centre.
    pub fn instances(mut self, instances: usize) -> SoakOptions {
        self.instances = instances;
        self
    }

    /// Sets the mean time between two faults, in milliseconds; 0 for a calm run.
    pub fn fault_every_ms(mut self, millis: u64) -> SoakOptions {
        self.fault_every_ms = millis;
        self
    }
}

/// `SoakFault` is one thing done to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// SIGKILL, and a start after some time.
    Kill {
        /// Which instance.
        instance: usize,
        /// Time until the start, in milliseconds.
        down_ms: u64,
    },
    /// SIGKILL to all, and a start of each after some time.
    KillAll {
        /// Time until the start, in milliseconds.
        down_ms: u64,
    },
    /// SIGTERM, perhaps twice, and a start after the end.
    Stop {
        /// Which instance.
        instance: usize,
        /// Signals.
        times: u32,
    },
    /// SIGSTOP, and SIGCONT after some time.
    Pause {
        /// Which instance.
        instance: usize,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// SIGHUP.
    Reload {
        /// Which instance.
        instance: usize,
    },
    /// The store answers nobody, or with 503, or slowly.
    StoreDown {
        /// 0 refuses, 1 is silent, 2 is slow.
        how: u32,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// The store drops its history.
    StoreCompact,
    /// Entries lapse while the store is away, and come back.
    StoreLapse {
        /// Time in milliseconds that the store is away.
        for_ms: u64,
    },
    /// The store comes back from an older copy, and what was lost is written again.
    StoreRestored {
        /// Age of the copy when the store goes away, in milliseconds.
        age_ms: u64,
        /// Time in milliseconds that the store is away.
        away_ms: u64,
    },
    /// An instance's way to the store is harmed.
    StoreLink {
        /// Which instance.
        instance: usize,
        /// 0 cut, 1 cut one way, 2 delayed, 3 reset, 4 silenced.
        how: u32,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// Messages between instances are harmed.
    PeerLink {
        /// From which instance; to all others.
        instance: usize,
        /// 0 cut both ways, 1 cut one way, 2 delayed, 3 lossy.
        how: u32,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// A backend server falls silent and doesn't come back.
    BackendDies {
        /// Which, of all.
        backend: usize,
    },
    /// A backend server dies and its address goes to one of the other service.
    BackendReused {
        /// Which, of all.
        backend: usize,
    },
    /// A backend server is replaced in order.
    BackendReplaced {
        /// Which, of all.
        backend: usize,
    },
    /// A backend server answers nothing for some time, and lives on.
    BackendSilent {
        /// Which, of all.
        backend: usize,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// Packets of callers, and answers to them, are lost.
    PacketLoss {
        /// How many of a thousand, each way.
        per_mille: u32,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// A backend server crashes and starts again under its id.
    BackendRestarts {
        /// Which, of all.
        backend: usize,
        /// Time between, in milliseconds.
        down_ms: u64,
        /// Where it starts.
        place: RestartAddress,
    },
    /// Another writer overwrites a backend server's entry, which its own next one mends.
    EntryCorrupted {
        /// Which, of all.
        backend: usize,
        /// What is written.
        value: CorruptEntry,
        /// Time until it is mended, in milliseconds.
        for_ms: u64,
    },
    /// Another writer adds an entry, and takes it away.
    EntryAdded {
        /// Of a new backend server, or with the number of this one.
        backend: Option<usize>,
        /// What is written.
        value: CorruptEntry,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// A data centre is evacuated, and taken back after some time.
    Evacuate {
        /// Which of the two.
        centre: usize,
        /// Time in milliseconds.
        for_ms: u64,
    },
    /// New lists are published.
    Publish {
        /// How many, one each 300 ms.
        times: u32,
    },
    /// More requests come than usual.
    Burst {
        /// Whose.
        source: BurstSource,
        /// Time in milliseconds.
        for_ms: u64,
    },
}

/// `BurstSource` is whose requests become more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BurstSource {
    /// All callers of one of the two data centres.
    Centre(usize),
    /// The less urgent kind, of all callers.
    Kind,
    /// One caller's address, in the less urgent kind.
    Caller(usize),
}

/// `RestartAddress` is where a backend server starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartAddress {
    /// At the address that it had.
    Same,
    /// At another.
    Other,
}

/// `CorruptEntry` is an entry as another writer leaves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorruptEntry {
    /// No JSON.
    InvalidJson,
    /// Without a state.
    MissingState,
    /// In a state that nobody knows.
    UnknownState,
    /// With an address of another form.
    BadAddress,
    /// With fewer than no slots.
    BadSlots,
    /// With a fraction for the time of its start.
    BadStart,
    /// Whole, at an address where no backend server is.
    OtherAddress,
}

impl CorruptEntry {
    /// Every one.
    pub const ALL: [CorruptEntry; 7] = [
        CorruptEntry::InvalidJson,
        CorruptEntry::MissingState,
        CorruptEntry::UnknownState,
        CorruptEntry::BadAddress,
        CorruptEntry::BadSlots,
        CorruptEntry::BadStart,
        CorruptEntry::OtherAddress,
    ];
}

/// `FaultPlan` is the faults of a run with their times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Times and faults, in order.
    pub faults: Vec<(u64, SoakFault)>,
}

impl FaultPlan {
    /// Makes the plan of a run.
    pub fn new(options: &SoakOptions) -> FaultPlan {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut faults = Vec::new();
        if options.fault_every_ms == 0 {
            return FaultPlan { faults };
        }
        let end = options.seconds * 1_000;
        let mut at = 500;
        while at < end {
            faults.push((at, random_fault(&mut rng, options)));
            // Some come together, others with a pause.
            let is_together = rng.random_bool(0.25);
            let pause = rng.random_range(0..options.fault_every_ms * 2);
            at += if is_together { 5 } else { pause };
        }
        FaultPlan { faults }
    }
}

fn random_fault(rng: &mut StdRng, options: &SoakOptions) -> SoakFault {
    let instance = rng.random_range(0..options.instances * 2);
    let backend = rng.random_range(0..1_000);
    let for_ms = rng.random_range(300..6_000);
    let kinds = match options.range {
        FaultRange::Control => 20,
        FaultRange::Packets => 25,
        FaultRange::Entries => 34,
        FaultRange::Evacuations => 40,
        FaultRange::Restores => 46,
        FaultRange::Bursts => return random_burst_fault(rng, options, instance),
    };
    match rng.random_range(0..kinds) {
        0..3 => SoakFault::Kill { instance, down_ms: rng.random_range(100..2_500) },
        3..5 => SoakFault::Stop { instance, times: rng.random_range(1..3) },
        5..7 => SoakFault::Pause { instance, for_ms },
        7 => SoakFault::Reload { instance },
        8 => SoakFault::StoreDown { how: rng.random_range(0..3), for_ms },
        9 => SoakFault::StoreCompact,
        10..12 => SoakFault::StoreLink { instance, how: rng.random_range(0..5), for_ms },
        12..14 => SoakFault::PeerLink { instance, how: rng.random_range(0..4), for_ms },
        14 => SoakFault::BackendDies { backend },
        15 => SoakFault::BackendReused { backend },
        16 => SoakFault::BackendReplaced { backend },
        17 => SoakFault::StoreLapse { for_ms },
        18 if rng.random_bool(0.3) => SoakFault::KillAll { down_ms: rng.random_range(200..1_500) },
        20..23 => SoakFault::BackendSilent { backend, for_ms },
        25..30 => SoakFault::BackendRestarts {
            backend,
            down_ms: rng.random_range(5..3_000),
            place: if rng.random_bool(0.6) { RestartAddress::Same } else { RestartAddress::Other },
        },
        30..32 => SoakFault::EntryCorrupted { backend, value: random_value(rng), for_ms },
        40.. => SoakFault::StoreRestored {
            age_ms: rng.random_range(0..8_000),
            away_ms: rng.random_range(100..4_000),
        },
        34..40 => SoakFault::Evacuate {
            centre: rng.random_range(0..2),
            for_ms: rng.random_range(2_000..12_000),
        },
        32..34 => SoakFault::EntryAdded {
            backend: rng.random_bool(0.5).then_some(backend),
            value: random_value(rng),
            for_ms,
        },
        23.. => SoakFault::PacketLoss { per_mille: rng.random_range(20..400), for_ms },
        _ => SoakFault::Publish { times: rng.random_range(1..6) },
    }
}

fn random_burst_fault(rng: &mut StdRng, options: &SoakOptions, instance: usize) -> SoakFault {
    let for_ms = rng.random_range(1_500..4_000);
    let source = match rng.random_range(0..10) {
        0..2 => BurstSource::Centre(rng.random_range(0..2)),
        2..4 => BurstSource::Kind,
        4..6 => BurstSource::Caller(rng.random_range(0..options.callers * 2)),
        6..8 => return SoakFault::Kill { instance, down_ms: rng.random_range(100..2_500) },
        _ => return SoakFault::PeerLink { instance, how: rng.random_range(0..4), for_ms },
    };
    SoakFault::Burst { source, for_ms }
}

fn random_value(rng: &mut StdRng) -> CorruptEntry {
    CorruptEntry::ALL[rng.random_range(0..CorruptEntry::ALL.len())]
}
