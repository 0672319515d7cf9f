//! Fleets that don't all run at once.

use std::{
    ops::{Deref, DerefMut},
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
};

use foxledge_fakes::harness::{FleetPlan, TestFleet};

/// Fleets of one test binary that run at once.
const MAX_RUNNING_FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// `LimitedFleet` is a fleet that counts among those running at once.
///
/// A dozen fleets on one machine would starve each other; one would notice tests that fail only
/// when they run together.
pub struct LimitedFleet {
    fleet: TestFleet,
    // Dropped after the fleet, whose processes have then ended.
    _permit: FleetPermit,
}

impl LimitedFleet {
    /// Waits for its turn, then starts a fleet whose instances are all ready.
    pub fn start(plan: FleetPlan) -> anyhow::Result<LimitedFleet> {
        let permit = FleetPermit::acquire();
        Ok(LimitedFleet { fleet: TestFleet::start(plan)?, _permit: permit })
    }
}

impl Deref for LimitedFleet {
    type Target = TestFleet;

    fn deref(&self) -> &TestFleet {
        &self.fleet
    }
}

impl DerefMut for LimitedFleet {
    fn deref_mut(&mut self) -> &mut TestFleet {
        &mut self.fleet
    }
}

struct FleetPermit;

impl FleetPermit {
    fn acquire() -> FleetPermit {
        let mut running = lock();
        while *running >= MAX_RUNNING_FLEETS {
            running = FLEET_ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *lock() -= 1;
        FLEET_ENDED.notify_one();
    }
}

fn lock() -> MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}
