use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a burst of all clients on a sender that recovers, and a rate limit that is never lifted.
#[test]
fn new_messages_are_admitted_at_a_growing_rate() {
    let mut admission = Admission::new(20.0, ms(5000), ms(0));
    let mut seconds = [0; 6];
    for n in 0..60_000u64 {
        let now = ms(n / 10);
        if admission.admit(now).is_ok() {
            seconds[(n / 10_000) as usize] += 1;
        }
    }
    for (second, admitted) in seconds[..5].iter().enumerate() {
        let [least, most] = [second, second + 1].map(|n| 20.0 * 2f64.powi(n as i32));
        assert!(
            *admitted as f64 >= least * 0.95 && *admitted as f64 <= most * 1.05 + 2.0,
            "{second}: {admitted}"
        );
    }
    assert_eq!(seconds[5], 10_000);
    assert!(admission.is_over(ms(5000)) && !admission.is_over(ms(4999)));
}

/// Guards against giving all clients one moment to retry at, and against unbounded waits.
#[test]
fn rejected_clients_retry_at_different_moments() {
    let mut admission = Admission::new(10.0, ms(5000), ms(0));
    let mut waits: Vec<Duration> = (0..2000).filter_map(|_| admission.admit(ms(1)).err()).collect();
    assert!(waits.len() > 1990 && waits.iter().all(|wait| *wait <= MAX_RETRY_AFTER));
    waits.truncate(50);
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}
