//! The memory-mapped control file, and the decision whether a call fails.
use libc::{c_int, c_long};
use micadrum_fault_control::{
    CONTROL_VARIABLE, FaultKind, FaultWord, PATH_PREFIX_VARIABLE, RATE_UNIT, SEED_WORD, file_words,
};
use std::ffi::CString;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The increment of the SplitMix64 generator.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The mapped control file.
pub struct Control {
    words: &'static [AtomicU64],
    random: AtomicU64,
    path_prefix: Vec<u8>,
}

/// Returns the control file of this process, or `None` if the environment names none or it cannot be mapped.
pub fn control() -> Option<&'static Control> {
    static CONTROL: OnceLock<Option<Control>> = OnceLock::new();
    CONTROL.get_or_init(Control::open).as_ref()
}

/// Returns the parameter of the fault if it is to be injected into the current call.
pub fn injected(kind: FaultKind) -> Option<i64> {
    control()?.inject(kind)
}

/// Returns the error number to inject into the current call, or `None` if the call is to succeed. Chooses one
/// of `documented` at random unless the fault specifies an error number.
pub fn injected_error(kind: FaultKind, documented: &[c_int]) -> Option<c_int> {
    let control = control()?;
    match control.inject(kind)? {
        0 => Some(documented[control.random_below(documented.len() as u64) as usize]),
        error => Some(error as c_int),
    }
}

impl Control {
    /// Maps the file with raw system calls: the libc functions that this crate overrides would call
    /// `control()` again.
    fn open() -> Option<Self> {
        let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
        let path_prefix = std::env::var(PATH_PREFIX_VARIABLE).unwrap_or_default().into_bytes();
        let bytes = file_words() * size_of::<AtomicU64>();
        // SAFETY: the pointers passed are valid, the mapping is never unmapped, and the file is only accessed
        // in aligned 64-bit words.
        let words = unsafe {
            let flags = libc::O_RDWR | libc::O_CLOEXEC;
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0);
            if file < 0 {
                return None;
            }
            let access = libc::PROT_READ | libc::PROT_WRITE;
            let mapped = libc::mmap(std::ptr::null_mut(), bytes, access, libc::MAP_SHARED, file as c_int, 0);
            libc::syscall(libc::SYS_close, file);
            if mapped == libc::MAP_FAILED {
                return None;
            }
            std::slice::from_raw_parts(mapped.cast::<AtomicU64>(), file_words())
        };
        // Advances the seed in the file, so that each process that maps it draws a different sequence.
        let seed = words[SEED_WORD].fetch_add(GOLDEN_GAMMA, Ordering::Relaxed);
        Some(Self { words, random: AtomicU64::new(seed), path_prefix })
    }

    fn word(&self, kind: FaultKind, word: FaultWord) -> &AtomicU64 {
        &self.words[kind.word(word)]
    }

    /// Returns the parameter of a fault that applies to every call while its rate is not zero, and counts the
    /// call.
    pub fn parameter(&self, kind: FaultKind) -> Option<i64> {
        if self.word(kind, FaultWord::Rate).load(Ordering::Relaxed) == 0 {
            return None;
        }
        self.word(kind, FaultWord::Injected).fetch_add(1, Ordering::Relaxed);
        Some(self.word(kind, FaultWord::Parameter).load(Ordering::Relaxed).cast_signed())
    }

    /// Returns whether a fault of this kind is enabled.
    pub fn is_active(&self, kind: FaultKind) -> bool {
        self.word(kind, FaultWord::Rate).load(Ordering::Relaxed) != 0
    }

    fn inject(&self, kind: FaultKind) -> Option<i64> {
        let rate = self.word(kind, FaultWord::Rate).load(Ordering::Acquire);
        if rate == 0 {
            return None;
        }
        self.word(kind, FaultWord::Seen).fetch_add(1, Ordering::Relaxed);
        if decrement(self.word(kind, FaultWord::Skip)) {
            return None;
        }
        if self.random_below(RATE_UNIT) >= rate || !decrement(self.word(kind, FaultWord::Remaining)) {
            return None;
        }
        self.word(kind, FaultWord::Injected).fetch_add(1, Ordering::Relaxed);
        Some(self.word(kind, FaultWord::Parameter).load(Ordering::Relaxed).cast_signed())
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub fn random_below(&self, bound: u64) -> u64 {
        let mut value = self.random.fetch_add(GOLDEN_GAMMA, Ordering::Relaxed).wrapping_add(GOLDEN_GAMMA);
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (value ^ (value >> 31)) % bound.max(1)
    }

    /// Returns whether a path starts with the prefix that folder faults apply to.
    pub fn is_in_folder(&self, path: &[u8]) -> bool {
        !self.path_prefix.is_empty() && path.starts_with(&self.path_prefix)
    }

    /// Returns whether a descriptor refers to a file under that prefix.
    pub fn is_file_in_folder(&self, descriptor: c_int) -> bool {
        let link = CString::new(format!("/proc/self/fd/{descriptor}")).unwrap_or_default();
        let mut target = [0_u8; libc::PATH_MAX as usize];
        // SAFETY: `link` is NUL-terminated, and `target` has the length that is passed.
        let length: c_long = unsafe {
            libc::syscall(
                libc::SYS_readlinkat,
                libc::AT_FDCWD,
                link.as_ptr(),
                target.as_mut_ptr(),
                target.len(),
            )
        };
        usize::try_from(length).is_ok_and(|length| self.is_in_folder(&target[..length]))
    }
}

/// Decrements a word unless it is zero. Returns whether it was decremented.
fn decrement(word: &AtomicU64) -> bool {
    word.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |value| value.checked_sub(1)).is_ok()
}
