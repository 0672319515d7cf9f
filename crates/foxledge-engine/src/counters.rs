//! Counters of the engine.

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The totals of the engine since its start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct EngineCounters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl EngineCounters {
            /// Returns the names and values of all counters, for the metrics.
            pub fn named_values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name)),*]
            }
        }
    };
}

counters! {
    /// Datagrams received on the data socket.
    data_received,
    /// Datagrams received on the peer socket.
    peer_received,
    /// Datagrams dropped as malformed, truncated or oversized.
    malformed,
    /// Peer datagrams dropped because no published key opens their seal.
    peer_unsealed,
    /// Datagrams of backend servers dropped because their return path can't be opened or they came
    /// from another address than the dispatch was sent to.
    path_unsealed,
    /// Packets sent to the backend server in their flow token.
    by_token,
    /// Packets forwarded to another instance, repeats included.
    forwarded,
    /// Forwards that weren't acknowledged in time.
    forward_silent,
    /// Packets handled as the home of their service.
    home_taken,
    /// Tickets issued.
    tickets_issued,
    /// Requests opened at this home.
    requests_opened,
    /// Duplicates of requests that this home knows.
    copies_seen,
    /// Dispatches to backend servers.
    dispatched,
    /// Requests and feeds that ended.
    ended,
    /// Refusals with the outcome "not run".
    refused_not_run,
    /// Refusals with an unknown outcome.
    refused_unknown,
    /// Packets refused because the backend server in their flow token has changed or can't be
    /// reached.
    target_changed,
    /// Responses of backend servers relayed to callers.
    answers_relayed,
    /// Probes sent.
    probes_sent,
    /// Checks sent to backend servers about acknowledged dispatches.
    checks_sent,
    /// Refusals of backend servers dropped because the home had dispatched the work again or
    /// had answered since.
    superseded,
    /// Resend requests sent to callers because their ticket's home couldn't be reached from this
    /// instance.
    resends_asked,
    /// Packets forwarded to another data centre because no local backend server could serve them.
    sent_elsewhere,
    /// Flow tokens sealed again under a newer key.
    tokens_resealed,
}
