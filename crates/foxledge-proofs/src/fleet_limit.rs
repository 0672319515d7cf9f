//! A limit of the fleets that run at the same time.

use std::{
    ops::{Deref, DerefMut},
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
};

use foxledge_fakes::harness::{FleetPlan, TestFleet};

/// The maximum number of fleets of a test binary that run at the same time.
const MAX_RUNNING_FLEETS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// A fleet that counts towards the limit.
///
/// A dozen fleets on one machine would starve each other, and tests would fail only when they run
/// together.
pub struct LimitedFleet {
    fleet: TestFleet,
    // Fields are dropped in order, so that the fleet's processes end before the permit is released.
    _permit: FleetPermit,
}

impl LimitedFleet {
    /// Waits for a permit, then starts a fleet and waits until all its instances are ready.
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
