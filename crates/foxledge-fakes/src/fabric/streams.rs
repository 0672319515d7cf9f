//! The relay of connections between instances, to the platform or to anything on TCP.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use super::faults::{LinkPassage, PacketWay, WayPair};

/// Bytes read at once.
const CHUNK_SIZE: usize = 16 * 1024;
/// Chunks held in one direction of a connection, while delayed or cut.
const HELD_CHUNKS: usize = 64;

/// `StreamFaults` is what a stream relay does to its connections in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamFaults {
    /// When cut, nothing passes, not even the end of a connection.
    pub passage: LinkPassage,
    /// Delay of what passes.
    pub delay: Duration,
}

/// `StreamRelay` relays connections to one address.
///
/// A cut holds what is under way and resets nothing, so both ends see silence, as on a network
/// whose packets vanish. After the cut the held bytes go on, as TCP would resend them.
#[derive(Debug)]
pub struct StreamRelay {
    forward_to: SocketAddr,
    faults: watch::Sender<WayPair<StreamFaults>>,
    bytes: WayPair<AtomicU64>,
}

impl StreamRelay {
    /// Starts relaying the connections of `listener`; must be called within a runtime.
    pub fn start(listener: TcpListener, forward_to: SocketAddr) -> Arc<StreamRelay> {
        let (faults, _) = watch::channel(WayPair::default());
        let relay = Arc::new(StreamRelay { forward_to, faults, bytes: WayPair::default() });
        tokio::spawn(relay.clone().accept_streams(listener));
        relay
    }

    /// Changes the faults of open and later connections.
    pub fn change_faults(&self, way: PacketWay, change: impl FnOnce(&mut StreamFaults)) {
        self.faults.send_modify(|faults| change(faults.get_mut(way)));
    }

    /// Bytes carried so far.
    pub fn bytes(&self) -> WayPair<u64> {
        WayPair {
            forward: self.bytes.forward.load(Ordering::Relaxed),
            back: self.bytes.back.load(Ordering::Relaxed),
        }
    }

    async fn accept_streams(self: Arc<StreamRelay>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            tokio::spawn(self.clone().relay_stream(stream));
        }
    }

    async fn relay_stream(self: Arc<StreamRelay>, stream: TcpStream) {
        // A connection that is opened during a cut waits for its end.
        wait_uncut(&mut self.faults.subscribe(), PacketWay::Forward).await;
        let Ok(onward) = TcpStream::connect(self.forward_to).await else { return };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let (near_reader, near_writer) = stream.into_split();
        let (far_reader, far_writer) = onward.into_split();
        tokio::spawn(self.clone().carry(PacketWay::Forward, near_reader, far_writer));
        tokio::spawn(self.clone().carry(PacketWay::Back, far_reader, near_writer));
    }

    async fn carry(
        self: Arc<StreamRelay>,
        way: PacketWay,
        mut reader: OwnedReadHalf,
        writer: OwnedWriteHalf,
    ) {
        let (sender, receiver) = mpsc::channel(HELD_CHUNKS);
        let relay = self.clone();
        tokio::spawn(async move { relay.write_chunks(way, receiver, writer).await });
        loop {
            let mut chunk = vec![0; CHUNK_SIZE];
            let length = reader.read(&mut chunk).await.unwrap_or(0);
            chunk.truncate(length);
            let due = Instant::now() + self.faults.borrow().get(way).delay;
            // An empty chunk stands for the end of the connection.
            if sender.send((due, chunk)).await.is_err() || length == 0 {
                return;
            }
        }
    }

    async fn write_chunks(
        &self,
        way: PacketWay,
        mut receiver: mpsc::Receiver<(Instant, Vec<u8>)>,
        mut writer: OwnedWriteHalf,
    ) {
        let mut faults = self.faults.subscribe();
        while let Some((due, chunk)) = receiver.recv().await {
            sleep_until(due).await;
            wait_uncut(&mut faults, way).await;
            if chunk.is_empty() || writer.write_all(&chunk).await.is_err() {
                return;
            }
            self.bytes.get(way).fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
    }
}

async fn wait_uncut(faults: &mut watch::Receiver<WayPair<StreamFaults>>, way: PacketWay) {
    // The sender lives as long as the relay, which lives as long as its tasks.
    let _ = faults.wait_for(|faults| faults.get(way).passage == LinkPassage::Open).await;
}
