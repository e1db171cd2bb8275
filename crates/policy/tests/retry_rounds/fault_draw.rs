//! Draws combinations of faults.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet_model::FaultPlan;
use crate::fleet_model::FleetSize;

const FAILURE_RATES: [fn(u64) -> f64; 4] = [
    |_| 0.5,
    |_| 0.9,
    |at_ms| if at_ms < 9_000 { 0.02 } else { 0.95 },
    |at_ms| if at_ms / 4_000 % 2 == 0 { 0.0 } else { 0.9 },
];

/// Faults of the run with `seed`.
pub(crate) fn draw_faults(size: FleetSize, seed: u64) -> FaultPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(1_000 + seed);
    let loss = rng.random_range(0.0..0.8) * f64::from(rng.random_range(0..2u32));
    let late_share = rng.random_range(0.0..1.0);
    let late_ms = [100, 500, 1_500][rng.random_range(0..3)];
    let restarts = (0..rng.random_range(0..size.hosts / 2))
        .map(|_| {
            let host = rng.random_range(0..size.hosts);
            // Multiples of a step of the model, apart from each other for one host.
            (rng.random_range(0..10) * 2_000 + 20 * host as u64, host)
        })
        .collect();
    FaultPlan {
        failure_rate: FAILURE_RATES[rng.random_range(0..FAILURE_RATES.len())],
        loss,
        lost_from: None,
        late: (late_share, late_ms),
        restarts,
        restart_ms: 1_000,
        divided_until: [0, 1_000, 5_000][rng.random_range(0..3)],
        loses_shares: false,
    }
}
