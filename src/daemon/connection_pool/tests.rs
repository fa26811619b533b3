use super::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::cell::Cell;
use std::rc::Rc;

#[derive(Clone)]
struct Fake(u32, Rc<Cell<bool>>);

impl Poolable for Fake {
    fn is_closed(&self) -> bool {
        self.1.get()
    }

    fn close(self, _: CloseReason) {}
}

/// Compares random operations with those on a plain list. Guards against a connection that is returned twice,
/// after it expired or closed, or for another endpoint or address, and against exceeding the capacity.
#[test]
fn returns_the_same_connections_as_a_linear_search() {
    let idle_timeout = Duration::from_millis(80);
    for seed in 0..100 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = move |n: u32| random.next_u32() % n;
        let (mut pool, mut now, mut taken) =
            (ConnectionPool::new(idle_timeout * 5 / 4, 12), Instant::now(), 0);
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
                    let found = pool.take(endpoint, address, now).map(|fake: Fake| fake.0);
                    let expected = std::iter::from_fn(|| {
                        let at = model.iter().rposition(|(of, ..)| *of == (endpoint, address))?;
                        Some(model.remove(at).1)
                    });
                    let expected = { expected }.find(|fake| !fake.is_closed()).map(|fake| fake.0);
                    assert_eq!(found, expected, "seed {seed}");
                    taken += usize::from(found.is_some());
                }
                _ => {
                    let fake = Fake(number, Rc::default());
                    pool.put(endpoint, address, fake.clone(), now);
                    if model.len() == 12 {
                        model.remove(0);
                    }
                    model.push(((endpoint, address), fake, now));
                }
            }
            assert!(pool.by_age.len() <= 12 && pool.idle.values().map(VecDeque::len).sum::<usize>() <= 12);
        }
        assert!(taken > 20, "seed {seed}: only {taken} connections were taken");
    }
}
