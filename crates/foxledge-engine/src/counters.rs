//! Counters of the engine.

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// `EngineCounters` is what the engine counted since its start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct EngineCounters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl EngineCounters {
            /// Names and values, for metrics.
            pub fn named_values(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name)),*]
            }
        }
    };
}

counters! {
    /// Datagrams that arrived on the data socket.
    data_received,
    /// Datagrams that arrived on the peer socket.
    peer_received,
    /// Datagrams dropped as malformed, truncated or oversized.
    malformed,
    /// Peer datagrams dropped because no published key sealed them.
    peer_unsealed,
    /// Backend server datagrams dropped because their return path didn't open.
    path_unsealed,
    /// Packets sent to the backend server that a flow token names.
    by_token,
    /// Packets forwarded to a home.
    forwarded,
    /// Forwardings that no home acknowledged in time.
    forward_silent,
    /// Packets taken as home.
    home_taken,
    /// Tickets issued.
    tickets_issued,
    /// Requests opened at this home.
    requests_opened,
    /// Copies of requests known to this home.
    copies_seen,
    /// Dispatches to backend servers.
    dispatched,
    /// Requests and feeds that ended.
    ended,
    /// Refusals that said the work did not run.
    refused_not_run,
    /// Refusals that could not say whether the work ran.
    refused_unknown,
    /// Packets refused because a token named a backend server that lost its address.
    target_changed,
    /// Answers relayed to callers.
    answers_relayed,
    /// Probes sent.
    probes_sent,
    /// Questions to targets about dispatches that they had acknowledged.
    checks_sent,
    /// Refusals of targets dropped because the home had placed the work elsewhere.
    superseded,
    /// Callers asked to send again, as a ticket's home couldn't be reached from here.
    resends_asked,
    /// Packets sent to another data centre, as no target here could serve them.
    sent_elsewhere,
    /// Flow tokens sealed anew under a newer key.
    tokens_resealed,
}
