//! Instances with their state in memory, behind real listeners.

use std::sync::Arc;

use admin::{Control, Memory};
use ident::Name;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
};

/// The operator's key.
pub const KEY: &str = "operator-key";

/// Parses a valid name.
pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// An instance and its listener.
pub struct Instance {
    /// State of the instance.
    pub memory: Arc<Memory>,
    /// Base URL of its administration API.
    pub url: String,
    /// Runtime of its listener and connections; `None` after [`Instance::stop`].
    runtime: Option<Runtime>,
}

impl Instance {
    /// Serves an instance at `port` of the loopback address; 0 takes a free port.
    pub fn serve(memory: Memory, port: u16) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let listener = runtime.block_on(TcpListener::bind(("127.0.0.1", port))).unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let memory = Arc::new(memory);
        let control: Arc<dyn Control> = memory.clone();
        let serving = axum::serve(listener, admin::router(control));
        runtime.spawn(async move { serving.await.unwrap() });
        Self { memory, url, runtime: Some(runtime) }
    }

    /// Closes the listener and all connections.
    pub fn stop(&mut self) {
        drop(self.runtime.take());
    }
}
