//! Slow start: limits the work that a server gets while it warms up.
//!
//! A warming server gets at most a share, by its current capacity, of the work that a warm server
//! of its size has answered for this gateway, so all gateways together stay below what overloads
//! it. Where every server is warming up, little is sent.

use crate::api::{MILLISECOND, ServerProtection, Ticks};

/// Factor on the warm throughput at every decay: past throughput fades over some twenty seconds.
const THROUGHPUT_DECAY: f64 = 0.95;
/// Time between two decays, in ticks.
const DECAY_INTERVAL: f64 = (1000 * MILLISECOND) as f64;
/// Server time assumed at first, in ticks for a server of size 1, so the first answers are not
/// taken for steady throughput.
const INITIAL_SERVER_TIME: f64 = (2000 * MILLISECOND) as f64;
/// Fraction of the overload multiple that is used, as warm servers mostly answer less than they
/// could.
const OVERLOAD_SAFETY: f64 = 0.6;
/// Fraction of its cost that is charged for an attempt that only the primary can take; the safety
/// factor leaves room for the rest.
const PRIMARY_COST_FACTOR: f64 = 0.6;
/// Unused budget accumulates up to that of the overload window divided by this.
const BURST_DIVISOR: f64 = 4.0;

/// Fraction of its capacity that a server started at `started_at` (0 when long ago) has now; `None`
/// once it is warm.
#[must_use]
pub fn warming_capacity(
    protection: &ServerProtection,
    started_at: Ticks,
    now: Ticks,
) -> Option<f64> {
    let age = now - started_at;
    (started_at > 0 && age < protection.slow_start_window).then(|| {
        protection.slow_start_capacity
            + (1.0 - protection.slow_start_capacity)
                * (age.max(0) as f64 / protection.slow_start_window as f64)
    })
}

/// Throughput of the warm servers as this gateway sees it.
#[derive(Clone, Copy, Debug)]
pub struct WarmThroughput {
    /// Work answered, in ticks.
    work: f64,
    /// Server time over which it was answered, in ticks for a server of size 1.
    server_time: f64,
    /// Sum of the sizes of the usable warm servers.
    total_size: f64,
}

impl Default for WarmThroughput {
    fn default() -> Self {
        WarmThroughput {
            work: 0.0,
            server_time: INITIAL_SERVER_TIME,
            total_size: 0.0,
        }
    }
}

impl WarmThroughput {
    /// Records an answer of a warm server by the cost of its attempt.
    pub fn record(&mut self, cost: f64) {
        self.work += cost;
    }

    /// Decays past throughput; called once a second.
    ///
    /// The past second counts as server time of the servers that were warm then, so the work of
    /// servers that are gone is not attributed to the remaining ones.
    pub fn decay(&mut self) {
        self.work *= THROUGHPUT_DECAY;
        self.server_time = self.server_time * THROUGHPUT_DECAY + DECAY_INTERVAL * self.total_size;
    }

    /// Sets the sum of the sizes of the usable warm servers.
    pub fn set_total_size(&mut self, total_size: f64) {
        self.total_size = total_size;
        if self.work == 0.0 {
            self.server_time = self.server_time.max(INITIAL_SERVER_TIME * total_size);
        }
    }

    /// Work per tick answered by a warm server of size 1.
    #[must_use]
    pub fn per_tick(&self) -> f64 {
        self.work / self.server_time
    }
}

/// A server that warms up.
#[derive(Clone, Copy, Debug)]
pub struct WarmingServer {
    /// Its relative size, by the endpoint list.
    pub size: f64,
    /// Fraction of its capacity that it has now, by [`warming_capacity`].
    pub capacity: f64,
}

/// Budget of work for a warming server, in ticks of work.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmupBudget {
    balance: f64,
    updated_at: Ticks,
}

impl WarmupBudget {
    /// Begins a warm-up with a balance of `-debt`. A random debt spreads the first attempts of all
    /// gateways over the time in which they are due.
    pub fn restart(&mut self, debt: f64, now: Ticks) {
        *self = WarmupBudget {
            balance: -debt,
            updated_at: now,
        };
    }

    /// Balance at `now`, in ticks of work; an attempt may start at 0 or more.
    #[must_use]
    pub fn balance(
        &self,
        protection: &ServerProtection,
        throughput: &WarmThroughput,
        server: WarmingServer,
        now: Ticks,
    ) -> f64 {
        let rate = throughput.per_tick()
            * server.size
            * server.capacity
            * protection.overload_multiple
            * OVERLOAD_SAFETY;
        let burst = rate * protection.overload_window as f64 / BURST_DIVISOR;
        (self.balance + rate * (now - self.updated_at) as f64).min(burst)
    }

    /// Charges the cost of an attempt that starts now, in ticks of work; `balance` is `None` for a
    /// warm server, which is charged nothing.
    pub fn charge(&mut self, balance: Option<f64>, cost: f64, primary_only: bool, now: Ticks) {
        if let Some(balance) = balance {
            self.balance = balance
                - cost
                    * if primary_only {
                        PRIMARY_COST_FACTOR
                    } else {
                        1.0
                    };
        }
        self.updated_at = now;
    }
}
