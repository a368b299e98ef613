//! Text of a running call, with one writer and any number of readers.
//!
//! The writer appends tokens as the endpoint sends them. A reader starts at any byte offset and is
//! woken when text is appended. The final reply is set once the turn may be sent to the caller.

use peer::wire::{Position, Reply};
use sched::id::{Run, Tokens};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

#[derive(Debug, Default)]
struct Content {
    text: String,
    tokens: Tokens,
    run: Run,
    final_reply: Option<Reply>,
}

#[derive(Debug)]
struct Shared {
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
}

/// Text and final reply of a call.
#[derive(Clone, Debug)]
pub struct Output {
    shared: Arc<Shared>,
}

impl Default for Output {
    fn default() -> Self {
        let shared = Shared { content: Mutex::default(), changed: watch::Sender::new(0) };
        Self { shared: Arc::new(shared) }
    }
}

impl Output {
    /// Sets the run that the text belongs to, unless it is already set.
    pub fn set_run(&self, run: Run) {
        let mut content = self.lock();
        if content.run == 0 {
            content.run = run;
        }
    }

    /// Returns the run that the text belongs to, or 0 before the first token.
    pub fn run(&self) -> Run {
        self.lock().run
    }

    /// Appends one token.
    pub fn push(&self, token: &str) {
        let mut content = self.lock();
        content.text.push_str(token);
        content.tokens += 1;
        drop(content);
        self.notify_readers();
    }

    /// Replaces the text by the whole text of a call that has already ended.
    pub fn set_text(&self, text: &str, tokens: Tokens) {
        let mut content = self.lock();
        content.text = text.to_owned();
        content.tokens = tokens;
        drop(content);
        self.notify_readers();
    }

    /// Discards the text and the run, because another run starts from the beginning.
    pub fn restart(&self) {
        let mut content = self.lock();
        content.text.clear();
        content.tokens = 0;
        content.run = 0;
        drop(content);
        self.notify_readers();
    }

    /// Sets the final reply, unless it is already set.
    pub fn finish(&self, reply: Reply) {
        let mut content = self.lock();
        content.final_reply.get_or_insert(reply);
        drop(content);
        self.notify_readers();
    }

    /// Returns the number of tokens so far.
    pub fn tokens(&self) -> Tokens {
        self.lock().tokens
    }

    /// Returns the whole text so far.
    pub fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Returns a reader that starts at `position`.
    ///
    /// If `position` belongs to another run, the reader first returns [`Reply::Restart`] and then
    /// the text from the beginning.
    pub fn read_from(&self, position: Position) -> Reader {
        let changed = self.shared.changed.subscribe();
        Reader { output: self.clone(), position, ended: false, changed }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.shared.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_readers(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

/// Reader of an output.
#[derive(Debug)]
pub struct Reader {
    output: Output,
    position: Position,
    ended: bool,
    changed: watch::Receiver<u64>,
}

impl Reader {
    /// Waits for the next reply and returns it, or returns `None` after the final reply.
    pub async fn next(&mut self) -> Option<Reply> {
        loop {
            if self.ended {
                return None;
            }
            self.changed.mark_unchanged();
            if let Some(reply) = self.try_next() {
                return Some(reply);
            }
            self.changed.changed().await.ok()?;
        }
    }

    fn try_next(&mut self) -> Option<Reply> {
        let content = self.output.lock();
        if self.position.offset > 0 && self.position.run != content.run {
            let restarted = !content.text.is_empty() || content.final_reply.is_some();
            return restarted.then(|| {
                self.position = Position::default();
                Reply::Restart
            });
        }
        let offset = self.position.offset;
        if let Some(text) = content.text.get(offset as usize..).filter(|text| !text.is_empty()) {
            let reply = Reply::Text { run: content.run, offset, text: text.to_owned() };
            let end = content.text.len() as u64;
            self.position = Position { run: content.run, offset: end };
            return Some(reply);
        }
        let reply = content.final_reply.clone()?;
        self.ended = true;
        Some(reply)
    }
}
