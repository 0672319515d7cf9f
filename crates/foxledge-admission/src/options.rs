//! Settings of admission.

/// The maximum share of the capacity that is reserved for lower priorities, in percent.
const MAX_FLOOR_PERCENT: f64 = 50.0;
/// The range of the rate that one client account may use, in multiples of its max-min fair rate.
const ACCOUNT_SHARE_RANGE: (f64, f64) = (1.0, 100.0);

/// The admission settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionOptions {
    pub(crate) floor_percent: f64,
    pub(crate) account_share: f64,
}

impl Default for AdmissionOptions {
    fn default() -> AdmissionOptions {
        AdmissionOptions { floor_percent: 10.0, account_share: 1.0 }
    }
}

impl AdmissionOptions {
    /// Sets the share of the capacity that is reserved for lower priorities, in percent; limited to
    /// 0 to 50.
    #[must_use]
    pub fn floor_percent(mut self, percent: f64) -> Self {
        self.floor_percent = percent.clamp(0.0, MAX_FLOOR_PERCENT);
        self
    }

    /// Sets the multiple of the fair rate that one client account may use; limited to 1 to 100. 0
    /// disables the limit by account.
    #[must_use]
    pub fn account_share(mut self, share: f64) -> Self {
        let (lowest, highest) = ACCOUNT_SHARE_RANGE;
        self.account_share = if share > 0.0 { share.clamp(lowest, highest) } else { 0.0 };
        self
    }

    /// Returns `true` if client accounts are limited to their shares.
    pub fn has_account_share(&self) -> bool {
        self.account_share > 0.0
    }
}
