//! A relay in the path between two processes that can be cut or held.

use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// Passes everything.
    Open,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Accepts connections and passes nothing.
    Held,
}

/// A running relay.
#[derive(Clone, Debug)]
pub struct Relay {
    passage: Arc<watch::Sender<Passage>>,
}

impl Relay {
    /// Starts to relay from a listener to `ip:port`.
    pub fn start(listener: TcpListener, to_address: &str) -> Self {
        let (passage, seen) = watch::channel(Passage::Open);
        tokio::spawn(accept(listener, to_address.to_owned(), seen));
        Self {
            passage: Arc::new(passage),
        }
    }

    /// Changes what the relay does, for open connections too.
    pub fn set(&self, passage: Passage) {
        self.passage.send_replace(passage);
    }
}

/// Accepts connections for as long as the relay exists.
async fn accept(listener: TcpListener, to_address: String, passage: watch::Receiver<Passage>) {
    loop {
        let Ok((from, _peer)) = listener.accept().await else {
            return;
        };
        if *passage.borrow() != Passage::Cut {
            tokio::spawn(pass(from, to_address.clone(), passage.clone()));
        }
        if passage.has_changed().is_err() {
            return;
        }
    }
}

/// Passes one connection on until the relay is cut.
async fn pass(mut from: TcpStream, to_address: String, mut passage: watch::Receiver<Passage>) {
    loop {
        let now = *passage.borrow_and_update();
        match now {
            Passage::Cut => return,
            Passage::Held => {
                if passage.changed().await.is_err() {
                    return;
                }
            }
            Passage::Open => break,
        }
    }
    let Ok(mut to) = TcpStream::connect(&to_address).await else {
        return;
    };
    let mut seen = passage.clone();
    let was_changed = tokio::select! {
        _ended = copy_bidirectional(&mut from, &mut to) => false,
        _changed = seen.wait_for(|passage| *passage != Passage::Open) => true,
    };
    if was_changed {
        hold(from, to, passage).await;
    }
}

/// Keeps both sides open while held; drops them when cut.
async fn hold(from: TcpStream, to: TcpStream, mut passage: watch::Receiver<Passage>) {
    let _left = passage.wait_for(|passage| *passage != Passage::Held).await;
    drop(from);
    drop(to);
}
