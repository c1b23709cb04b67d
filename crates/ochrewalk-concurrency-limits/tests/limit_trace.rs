//! The same seeded events bring the admissions and the limits that are written down here, for each algorithm. A change that
//! is meant to change no decision keeps the digest; it is never taken anew to get a pass.

use ochrewalk_concurrency_limits::{ConcurrencyLimits, LimitAlgorithm, LimitsConfig, PoolConfig};

const SEEDS: u64 = 48;
const STEPS: usize = 4_000;
/// Of all admissions, limits and changes of all seeds.
const DIGEST: u64 = 13_285_809_103_065_807_640;
const ADMITTED: u64 = 71_928;

/// FNV-1a, 64 bits: small, and the same everywhere.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    fn add(&mut self, line: &str) {
        for byte in line.bytes().chain([b'\n']) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

fn settings(seed: u64) -> LimitsConfig {
    let pool = |initial, min, max, uses_reserve| PoolConfig { initial, min, max, uses_reserve };
    let pools = vec![pool(4, 1, 40, true), pool(6, 2, 60, false), pool(8, 1, 12, false)];
    LimitsConfig { algorithm: LimitAlgorithm::ALL[seed as usize % 4], pools, reserve: (seed % 3) as u32 }
}

/// Digest of a seed's run, and how many calls were admitted.
fn play(seed: u64) -> (u64, u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut limits = ConcurrencyLimits::with_phase(0, &settings(seed), seed as u32);
    let (mut digest, mut admitted, mut now_us) = (Digest::new(), 0, 0);
    for step in 0..STEPS {
        now_us += rng.u64(0..40_000);
        let pool = rng.usize(0..3);
        let in_flight = limits.capacity().pools[pool].in_flight;
        // Slow for a while, then quick again: limits fall and recover.
        let (slowest_us, rejects) = if (step / 500).is_multiple_of(2) { (3_000, 40) } else { (40_000, 5) };
        match rng.u32(0..20) {
            0..=10 => {
                let admits = limits.try_acquire(now_us, pool);
                admitted += u64::from(admits);
                digest.add(&format!("{pool} {admits}"));
            }
            11 if in_flight > 0 => limits.call_ignored(pool),
            _ if in_flight > 0 && rng.u32(0..rejects) == 0 => limits.call_rejected(pool),
            _ if in_flight > 0 => limits.call_succeeded(pool, 1_000 + rng.u64(0..slowest_us)),
            _ => {}
        }
        for change in limits.tick(now_us) {
            digest.add(&format!("{} {:.9} {:.9}", change.pool, change.from, change.to));
        }
        let capacity = limits.capacity();
        digest.add(&format!("{} {:.9} {:.9}", capacity.in_flight(), capacity.total(), limits.limit(pool)));
        digest.add(&format!("{:?}", limits.baseline_us(pool).map(|us| format!("{us:.9}"))));
    }
    (digest.0, admitted)
}

#[test]
fn seeded_events_bring_the_admissions_and_limits_that_are_written_down() {
    let (mut digest, mut admitted) = (Digest::new(), 0);
    for seed in 0..SEEDS {
        let (of_seed, count) = play(seed);
        digest.add(&of_seed.to_string());
        admitted += count;
    }
    assert_eq!((digest.0, admitted), (DIGEST, ADMITTED));
}
