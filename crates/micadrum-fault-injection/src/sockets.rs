//! Overrides of the libc functions that operate on sockets, and of `epoll_wait`.
use crate::control::{control, injected, injected_error};
use crate::{fail, result};
use libc::{c_int, c_void, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t};
use micadrum_fault_control::FaultKind;

const ACCEPT_ERRORS: [c_int; 5] =
    [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EMFILE, libc::ENOMEM];
const CONNECT_ERRORS: [c_int; 5] =
    [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EHOSTUNREACH, libc::ETIMEDOUT];
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
const BIND_ERRORS: [c_int; 3] = [libc::EADDRINUSE, libc::ENOBUFS, libc::ENOMEM];
const RECEIVE_ERRORS: [c_int; 3] = [libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH];
const INTERRUPTED: [c_int; 1] = [libc::EINTR];

/// Returns the address family of a socket, or `None` if the descriptor is not a socket.
fn socket_domain(descriptor: c_int) -> Option<c_int> {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: both pointers are valid for the call.
    let outcome = unsafe {
        let value = (&raw mut domain).cast();
        libc::getsockopt(descriptor, libc::SOL_SOCKET, libc::SO_DOMAIN, value, &raw mut length)
    };
    (outcome == 0).then_some(domain)
}

/// Returns whether a descriptor refers to a socket.
fn is_socket(descriptor: c_int) -> bool {
    socket_domain(descriptor).is_some()
}

/// Returns the error to inject into a transfer that a signal interrupts. Only IPv4 sockets are affected: the
/// Unix socket pair through which a runtime receives its own signals never blocks.
fn interrupt_error(descriptor: c_int) -> Option<c_int> {
    let is_active = control().is_some_and(|control| control.is_active(FaultKind::Interrupt));
    if !is_active || socket_domain(descriptor) != Some(libc::AF_INET) {
        return None;
    }
    injected_error(FaultKind::Interrupt, &INTERRUPTED)
}

/// Returns the number of bytes to transfer: `length`, or fewer but at least one if a short transfer is
/// injected.
fn transfer_length(length: size_t) -> size_t {
    if length <= 1 || injected(FaultKind::ShortTransfer).is_none() {
        return length;
    }
    control().map_or(length, |control| 1 + control.random_below(length as u64 - 1) as size_t)
}

/// Sleeps before a write if a delay is injected, as if the process had not been scheduled.
fn delay_write() {
    let Some(max_us) = injected(FaultKind::DelayedWrite) else { return };
    let delay_us = control().map_or(0, |control| control.random_below(max_us.unsigned_abs().max(1)));
    std::thread::sleep(std::time::Duration::from_micros(delay_us));
}

/// Returns the error to inject into a read from a socket.
fn receive_error(descriptor: c_int) -> Option<c_int> {
    interrupt_error(descriptor).or_else(|| injected_error(FaultKind::Receive, &RECEIVE_ERRORS))
}

/// Overrides `accept4`. An injected failure leaves the accept queue unchanged.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let interrupted = injected_error(FaultKind::Interrupt, &INTERRUPTED);
    if let Some(error) = interrupted.or_else(|| injected_error(FaultKind::Accept, &ACCEPT_ERRORS)) {
        return fail(error);
    }
    // SAFETY: the arguments are passed through unchanged.
    result(unsafe { libc::syscall(libc::SYS_accept4, descriptor, address, length, flags) })
}

/// Overrides `socket`.
#[unsafe(no_mangle)]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET
        && let Some(error) = injected_error(FaultKind::Socket, &SOCKET_ERRORS)
    {
        return fail(error);
    }
    // SAFETY: the system call takes no pointers.
    result(unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) })
}

/// Overrides `connect`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller passes a valid address, which begins with the address family.
    let is_internet = unsafe { (*address).sa_family } == libc::AF_INET as libc::sa_family_t;
    if is_internet && let Some(error) = injected_error(FaultKind::Connect, &CONNECT_ERRORS) {
        return fail(error);
    }
    // SAFETY: the arguments are passed through unchanged.
    result(unsafe { libc::syscall(libc::SYS_connect, descriptor, address, length) })
}

/// Overrides `bind`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn bind(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the caller passes a valid address, which begins with the address family.
    let is_internet = unsafe { (*address).sa_family } == libc::AF_INET as libc::sa_family_t;
    if is_internet && let Some(error) = injected_error(FaultKind::Bind, &BIND_ERRORS) {
        return fail(error);
    }
    // SAFETY: the arguments are passed through unchanged.
    result(unsafe { libc::syscall(libc::SYS_bind, descriptor, address, length) })
}

/// Overrides `epoll_wait`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    if let Some(error) = injected_error(FaultKind::Interrupt, &INTERRUPTED) {
        return fail(error);
    }
    let no_mask = std::ptr::null::<c_void>();
    // SAFETY: the arguments are passed through unchanged, with a null signal mask.
    result(unsafe {
        libc::syscall(
            libc::SYS_epoll_pwait,
            descriptor,
            events,
            max_events,
            timeout_ms,
            no_mask,
            size_of::<u64>(),
        )
    })
}

/// Overrides `recv`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let is_peek = flags & libc::MSG_PEEK != 0;
    if !is_peek && let Some(error) = receive_error(descriptor) {
        return fail(error) as ssize_t;
    }
    let length = if is_peek { length } else { transfer_length(length) };
    let none = std::ptr::null::<c_void>();
    // SAFETY: the caller's buffer holds at least `length` bytes.
    unsafe { libc::syscall(libc::SYS_recvfrom, descriptor, buffer, length, flags, none, none) as ssize_t }
}

/// Overrides `send`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if let Some(error) = interrupt_error(descriptor) {
        return fail(error) as ssize_t;
    }
    delay_write();
    let length = transfer_length(length);
    let none = std::ptr::null::<c_void>();
    // SAFETY: the caller's buffer holds at least `length` bytes.
    unsafe { libc::syscall(libc::SYS_sendto, descriptor, buffer, length, flags, none, 0) as ssize_t }
}

/// Overrides `readv`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if count > 0 && is_socket(descriptor) {
        // SAFETY: `count` is positive, so there is a first buffer. Reading only into that buffer is a valid
        // short read.
        return unsafe { recv(descriptor, (*parts).iov_base, (*parts).iov_len, 0) };
    }
    // SAFETY: the arguments are passed through unchanged.
    unsafe { libc::syscall(libc::SYS_readv, descriptor, parts, count) as ssize_t }
}

/// Overrides `writev`.
///
/// # Safety
/// The same requirements as for the libc function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if count > 0 && is_socket(descriptor) {
        if let Some(error) = interrupt_error(descriptor) {
            return fail(error) as ssize_t;
        }
        delay_write();
        // SAFETY: the caller's array has `count` elements.
        let parts = unsafe { std::slice::from_raw_parts(parts, count as usize) };
        let first = parts.iter().find(|part| part.iov_len > 0).unwrap_or(&parts[0]);
        let shortened = transfer_length(first.iov_len);
        if shortened < first.iov_len {
            let flags = libc::MSG_NOSIGNAL;
            let none = std::ptr::null::<c_void>();
            // SAFETY: the caller's buffer holds more than `shortened` bytes.
            return unsafe {
                libc::syscall(libc::SYS_sendto, descriptor, first.iov_base, shortened, flags, none, 0)
                    as ssize_t
            };
        }
        // SAFETY: the arguments are passed through unchanged.
        return unsafe { libc::syscall(libc::SYS_writev, descriptor, parts.as_ptr(), count) as ssize_t };
    }
    // SAFETY: the arguments are passed through unchanged.
    unsafe { libc::syscall(libc::SYS_writev, descriptor, parts, count) as ssize_t }
}
