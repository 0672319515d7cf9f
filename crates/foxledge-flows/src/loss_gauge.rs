//! Packet loss on an instance's network paths, estimated from answered requests.

/// Weight of one answered request in the moving average, which thus covers about the last ten. An
/// instance sees some 30 responses a second, so losses are detected in less than the 0.6 s after
/// which a backend server without responses counts as dead.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Share of answered requests with retransmissions above which paths count as lossy: two of the
/// last ten. A single lost packet doesn't exceed it.
const LOSSY_SHARE: f64 = 0.15;

/// Moving average of the share of answered requests whose data was retransmitted.
///
/// Where three packets in ten are lost, two flows to a healthy backend server receive no response
/// to two retransmissions within some seconds, as if it were dead. Answered requests distinguish
/// the two cases: when only one backend server is dead, the others respond without retransmissions.
/// Without this gauge, 41 flows of healthy backend servers were reset in a run of the measuring
/// tool.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossGauge {
    retransmitted_share: f64,
}

impl LossGauge {
    /// Records an answered request and how often its data was retransmitted.
    pub fn record_request(&mut self, retransmissions: u32) {
        let sample = if retransmissions > 0 { 1.0 } else { 0.0 };
        self.retransmitted_share += SAMPLE_WEIGHT * (sample - self.retransmitted_share);
    }

    /// Returns true when packets are lost on all paths, so that a missing response says little
    /// about a backend server.
    pub fn is_lossy(&self) -> bool {
        self.retransmitted_share > LOSSY_SHARE
    }
}
