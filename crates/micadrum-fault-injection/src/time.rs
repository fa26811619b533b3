//! The override of `clock_gettime`, which shifts the wall clock.
use crate::control::control;
use crate::result;
use libc::{c_int, clockid_t, timespec};
use micadrum_fault_control::FaultKind;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MICRO: i64 = 1_000;

/// Overrides `clock_gettime`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the arguments are passed through unchanged.
    let outcome = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    if outcome == 0
        && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE)
        && let Some(step_us) = control().and_then(|control| control.parameter(FaultKind::WallClock))
    {
        // SAFETY: the system call succeeded, so the pointer is valid and the time is initialized.
        unsafe { shift(&mut *time, step_us) };
    }
    result(outcome)
}

/// Shifts a time by `step_us` microseconds.
fn shift(time: &mut timespec, step_us: i64) {
    let nanos = time.tv_sec * NANOS_PER_SECOND + time.tv_nsec + step_us * NANOS_PER_MICRO;
    time.tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
    time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
}
