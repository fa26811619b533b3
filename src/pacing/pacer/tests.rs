use super::*;

/// Guards against closed-form growth that differs from growth in small steps, exceeds the maximum pace, or
/// doesn't match the computed time to accrue tokens.
#[test]
fn growth_over_one_long_step_equals_growth_over_many_short_steps() {
    for (pace, max_pace) in [(0.01, 0.5), (0.4, 0.5), (3.0, 2.0), (1.0, f64::INFINITY), (2.0, 2.0)] {
        for dt in [0.0, 0.2, 3.0, 40.0] {
            let (mut stepped, mut sum) = (pace, 0.0);
            for _ in 0..1000 {
                let (next, accrued) = grow_pace(stepped, max_pace, dt / 1000.0);
                (stepped, sum) = (next, sum + accrued);
            }
            let (grown, accrued) = grow_pace(pace, max_pace, dt);
            assert!(
                (grown - stepped).abs() <= 1e-6 * grown,
                "pace {pace}, maximum {max_pace}, {dt} s: got pace {grown}, stepwise {stepped}"
            );
            assert!(
                (accrued - sum).abs() <= 1e-6 * (accrued + 1.0),
                "pace {pace}, maximum {max_pace}, {dt} s: accrued {accrued}, stepwise {sum}"
            );
            assert!(grown <= max_pace.max(0.0));
            if accrued > 0.0 {
                let seconds = time_to_accrue(pace, max_pace, accrued);
                assert!(
                    (seconds - dt).abs() < 1e-6 * (dt + 1.0),
                    "pace {pace}, maximum {max_pace}: got {seconds} s, expected {dt} s"
                );
            }
        }
    }
}
