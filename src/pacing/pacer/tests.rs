use super::*;

/// Guards against tokens that are there later than the moment to look again, or a pace past its bound: in small
/// steps of time the closed forms add up to the same.
#[test]
fn growth_in_one_step_is_that_in_many() {
    for (pace, most) in [(0.01, 0.5), (0.4, 0.5), (3.0, 2.0), (1.0, f64::INFINITY), (2.0, 2.0)] {
        for dt in [0.0, 0.2, 3.0, 40.0] {
            let (mut stepped, mut sum) = (pace, 0.0);
            for _ in 0..1000 {
                let (next, earned) = grow(stepped, most, dt / 1000.0);
                (stepped, sum) = (next, sum + earned);
            }
            let (grown, earned) = grow(pace, most, dt);
            assert!((grown - stepped).abs() <= 1e-6 * grown, "{pace} {most} {dt}: {grown} {stepped}");
            assert!((earned - sum).abs() <= 1e-6 * (earned + 1.0), "{pace} {most} {dt}: {earned} {sum}");
            assert!(grown <= most.max(0.0));
            if earned > 0.0 {
                let back = time_to_earn(pace, most, earned);
                assert!((back - dt).abs() < 1e-6 * (dt + 1.0), "{pace} {most}: {back} for {dt}");
            }
        }
    }
}
