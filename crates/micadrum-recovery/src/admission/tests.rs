use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a rush of all clients at once on a sender that has just come back, and against a door that never
/// opens whole.
#[test]
fn newcomers_are_let_in_at_a_rate_that_grows() {
    let mut admission = Admission::new(20.0, ms(5000), ms(0));
    let mut seconds = [0; 6];
    for n in 0..60_000u64 {
        let now = ms(n / 10);
        if admission.admit(now).is_ok() {
            seconds[(n / 10_000) as usize] += 1;
        }
    }
    for (second, let_in) in seconds[..5].iter().enumerate() {
        let [least, most] = [second, second + 1].map(|n| 20.0 * 2f64.powi(n as i32));
        assert!(*let_in as f64 >= least * 0.95 && *let_in as f64 <= most * 1.05 + 2.0, "{second}: {let_in}");
    }
    assert_eq!(seconds[5], 10_000);
    assert!(admission.is_over(ms(5000)) && !admission.is_over(ms(4999)));
}

/// Guards against telling all of them the same moment, and against waits without end.
#[test]
fn who_is_turned_away_is_told_a_moment_of_its_own() {
    let mut admission = Admission::new(10.0, ms(5000), ms(0));
    let mut waits: Vec<Duration> = (0..2000).filter_map(|_| admission.admit(ms(1)).err()).collect();
    assert!(waits.len() > 1990 && waits.iter().all(|wait| *wait <= LATEST));
    waits.truncate(50);
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}
