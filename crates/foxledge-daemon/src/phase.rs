//! The phase of the process, readable from every thread.

use std::sync::atomic::{AtomicU8, Ordering};

use foxledge_core::peers::PeerState;
use foxledge_engine::EnginePhase;

/// The current phase of the process, shared between threads.
#[derive(Debug, Default)]
pub struct PhaseCell {
    phase: AtomicU8,
}

const JOINING: u8 = 0;
const SERVING: u8 = 1;
const LEAVING: u8 = 2;

impl PhaseCell {
    /// Sets the phase.
    pub fn set(&self, phase: EnginePhase) {
        let value = match phase {
            EnginePhase::Joining => JOINING,
            EnginePhase::Serving => SERVING,
            EnginePhase::Leaving => LEAVING,
        };
        self.phase.store(value, Ordering::Release);
    }

    /// Returns the current phase.
    pub fn get(&self) -> EnginePhase {
        match self.phase.load(Ordering::Acquire) {
            JOINING => EnginePhase::Joining,
            SERVING => EnginePhase::Serving,
            _ => EnginePhase::Leaving,
        }
    }

    /// Returns the name of the current phase.
    pub fn as_str(&self) -> &'static str {
        match self.get() {
            EnginePhase::Joining => "joining",
            EnginePhase::Serving => "serving",
            EnginePhase::Leaving => "leaving",
        }
    }

    /// Returns the state that this instance announces to its peers.
    pub fn peer_state(&self) -> PeerState {
        match self.get() {
            EnginePhase::Joining => PeerState::Joining,
            EnginePhase::Serving => PeerState::Alive,
            EnginePhase::Leaving => PeerState::Leaving,
        }
    }
}
