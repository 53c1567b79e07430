//! Counts the bytes that the holders of one kind of memory use, up to a limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Which part of an account a charge may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// All bytes, with the reserve: for small charges, of which each holder may have one.
    All,
    /// All bytes but the reserve.
    Unreserved,
    /// Half of the bytes that are not reserved.
    HalfOfUnreserved,
}

/// A limited number of bytes, which holders charge before they allocate.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: usize,
    /// Bytes that are kept for charges with [`Share::All`].
    reserve: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
    /// Number of charges that failed because the account was used up.
    failed_charges: AtomicU64,
}

/// The state of an account, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountUsage {
    /// Bytes that may be used.
    pub limit: usize,
    /// Bytes in use.
    pub used: usize,
    /// The most bytes that were in use at a time.
    pub peak: usize,
    /// Number of charges that failed because the account was used up.
    pub failed_charges: u64,
}

impl MemoryAccount {
    /// Creates an account of `limit` bytes, of which `reserve` are kept for charges with [`Share::All`].
    pub fn new(limit: usize, reserve: usize) -> Arc<Self> {
        let (used, peak, failed_charges) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicU64::new(0));
        Arc::new(MemoryAccount { limit, reserve, used, peak, failed_charges })
    }

    /// Creates a charge of no bytes.
    pub fn empty_charge(self: &Arc<Self>) -> MemoryCharge {
        MemoryCharge { account: self.clone(), bytes: 0 }
    }

    /// Charges bytes; `None` if the account has fewer left.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Option<MemoryCharge> {
        let mut charge = self.empty_charge();
        charge.try_resize(bytes, Share::All).then_some(charge)
    }

    /// Returns the most bytes that may be in use after a charge.
    fn limit_of(&self, share: Share) -> usize {
        let unreserved = self.limit.saturating_sub(self.reserve);
        match share {
            Share::All => self.limit,
            Share::Unreserved => unreserved,
            Share::HalfOfUnreserved => unreserved / 2,
        }
    }

    /// Returns the state of the account.
    pub fn usage(&self) -> AccountUsage {
        AccountUsage {
            limit: self.limit,
            used: self.used.load(Ordering::Relaxed),
            peak: self.peak.load(Ordering::Relaxed),
            failed_charges: self.failed_charges.load(Ordering::Relaxed),
        }
    }

    /// Adds bytes to those in use if no more than `limit` are in use afterwards.
    fn try_add(&self, bytes: usize, limit: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let added = self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        match added {
            Ok(previously_used) => {
                self.peak.fetch_max(previously_used + bytes, Ordering::Relaxed);
                true
            }
            Err(_) => {
                self.failed_charges.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }
}

/// Bytes of an account that a holder uses. They are given back when the charge is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl MemoryCharge {
    /// Returns the number of charged bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of charged bytes. Returns false, and changes nothing, if more bytes are charged than
    /// the share of the account has left.
    pub fn try_resize(&mut self, bytes: usize, share: Share) -> bool {
        if bytes > self.bytes && !self.account.try_add(bytes - self.bytes, self.account.limit_of(share)) {
            return false;
        }
        if bytes < self.bytes {
            self.account.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.account.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/memory_account.rs"]
mod tests;
