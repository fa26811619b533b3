use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cell::Cell;
use std::rc::Rc;

const QUIET_PERIOD: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Fake(u32, Rc<Cell<bool>>);

impl Poolable for Fake {
    fn is_closed(&self) -> bool {
        self.1.get()
    }

    fn close(self, _: CloseReason) {}
}

/// Compares random operations with those on a plain list. Guards against a connection that is returned twice,
/// after it expired or closed, for another endpoint or address, or as usable before it was quiet for long enough,
/// and against exceeding the capacity.
#[test]
fn returns_the_same_connections_as_a_linear_search() {
    let idle_timeout = Duration::from_millis(80);
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = move |n: u32| random.next_u32() % n;
        let (mut pool, mut now, mut taken, mut taken_early) =
            (ConnectionPool::new(idle_timeout * 5 / 4, 12), Instant::now(), 0, 0);
        let mut model: Vec<(Target, Fake, Instant)> = Vec::new();
        for number in 0..600 {
            now += Duration::from_millis(u64::from(draw(10)));
            model.retain(|(.., since)| now - *since < idle_timeout);
            let address = SocketAddr::from(([127, 0, 0, 1 + draw(2) as u8], 80));
            let endpoint = EndpointId(draw(4));
            match draw(10) {
                0 => {
                    pool.close(endpoint);
                    model.retain(|((of, _), ..)| *of != endpoint);
                }
                1 if !model.is_empty() => model[draw(model.len() as u32) as usize].1.1.set(true),
                2..5 => {
                    let found = pool.take(endpoint, address, now).map(|taken| {
                        let connection: Fake = taken.connection;
                        (connection.0, taken.usable_at)
                    });
                    let expected = std::iter::from_fn(|| {
                        let is_of = |of: &Target| *of == (endpoint, address);
                        let quiet = model
                            .iter()
                            .rposition(|(of, _, since)| is_of(of) && *since + QUIET_PERIOD <= now);
                        let at = quiet.or_else(|| model.iter().position(|(of, ..)| is_of(of)))?;
                        Some(model.remove(at))
                    });
                    let expected = { expected }
                        .find(|(_, fake, _)| !fake.is_closed())
                        .map(|(_, fake, since)| (fake.0, since + QUIET_PERIOD));
                    assert_eq!(found, expected, "seed {seed}");
                    taken += usize::from(found.is_some());
                    taken_early += usize::from(found.is_some_and(|(_, usable_at)| usable_at > now));
                }
                _ => {
                    let fake = Fake(number, Rc::default());
                    pool.put(endpoint, address, fake.clone(), now, QUIET_PERIOD);
                    if model.len() == 12 {
                        model.remove(0);
                    }
                    model.push(((endpoint, address), fake, now));
                }
            }
            assert!(pool.by_age.len() <= 12 && pool.idle.values().map(VecDeque::len).sum::<usize>() <= 12);
        }
        assert!(taken > 20, "seed {seed}: only {taken} connections were taken");
        assert!(taken_early > 3, "seed {seed}: {taken_early} connections were taken that had to be quiet");
    }
}
