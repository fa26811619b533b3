use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against admitting a burst of all clients during recovery, and against a limit that never ends.
#[test]
fn doubles_the_admitted_rate_until_the_ramp_ends() {
    let mut admission = Admission::new(20.0, ms(5000), ms(0));
    let mut admitted_by_second = [0; 6];
    for n in 0..60_000u64 {
        let now = ms(n / 10);
        if admission.admit(now).is_ok() {
            admitted_by_second[(n / 10_000) as usize] += 1;
        }
    }
    for (second, admitted) in admitted_by_second[..5].iter().enumerate() {
        let [min_rate, max_rate] = [second, second + 1].map(|n| 20.0 * 2f64.powi(n as i32));
        assert!(
            *admitted as f64 >= min_rate * 0.95 && *admitted as f64 <= max_rate * 1.05 + 2.0,
            "second {second}: {admitted} admitted"
        );
    }
    assert_eq!(admitted_by_second[5], 10_000);
    assert!(admission.has_ended(ms(5000)) && !admission.has_ended(ms(4999)));
}

/// Guards against sending all rejected clients the same retry time, and against unbounded retry delays.
#[test]
fn staggers_the_retry_times_of_rejected_clients() {
    let mut admission = Admission::new(10.0, ms(5000), ms(0));
    let mut waits: Vec<Duration> = (0..2000).filter_map(|_| admission.admit(ms(1)).err()).collect();
    assert!(waits.len() > 1990 && waits.iter().all(|wait| *wait <= MAX_RETRY_AFTER));
    waits.truncate(50);
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}
