//! Decides when the allocator returns free memory to the system.

/// Bytes that must have been released since the last time.
const MIN_RELEASED_BYTES: usize = 1024 * 1024;

/// Tracks how much memory was in use since memory was last returned to the system.
#[derive(Debug, Default)]
pub struct TrimPolicy {
    peak: usize,
}

impl TrimPolicy {
    /// Whether to return memory now that `used` bytes are in use: most of a considerable peak was released.
    pub fn should_trim(&mut self, used: usize) -> bool {
        self.peak = self.peak.max(used);
        let is_due = self.peak - used >= MIN_RELEASED_BYTES.max(self.peak / 2);
        if is_due {
            self.peak = used;
        }
        is_due
    }
}
