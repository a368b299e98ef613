//! Text of a running call, written by one task and followed by any number of readers.
//!
//! The writer appends tokens as the endpoint sends them. A reader starts at any token and is woken
//! for what follows. The end is set once the turn may be given out.

use peer::wire::{Position, Reply};
use sched::id::{Run, Tokens};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

#[derive(Debug, Default)]
struct Content {
    text: String,
    tokens: Tokens,
    run: Run,
    end: Option<Reply>,
}

#[derive(Debug)]
struct Shared {
    content: Mutex<Content>,
    changed: watch::Sender<u64>,
}

/// A call's text and its end.
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
    /// Names the run that the text belongs to, unless it is named already.
    pub fn set_run(&self, run: Run) {
        let mut content = self.lock();
        if content.run == 0 {
            content.run = run;
        }
    }

    /// Run that the text belongs to; 0 before the first token.
    pub fn run(&self) -> Run {
        self.lock().run
    }

    /// Appends one token.
    pub fn push(&self, token: &str) {
        let mut content = self.lock();
        content.text.push_str(token);
        content.tokens += 1;
        drop(content);
        self.wake();
    }

    /// Sets the whole text of an answer that ended before.
    pub fn set_text(&self, text: &str, tokens: Tokens) {
        let mut content = self.lock();
        content.text = text.to_owned();
        content.tokens = tokens;
        drop(content);
        self.wake();
    }

    /// Discards the text, since another run starts from the beginning.
    pub fn restart(&self) {
        let mut content = self.lock();
        content.text.clear();
        content.tokens = 0;
        content.run = 0;
        drop(content);
        self.wake();
    }

    /// Sets the last frame, once.
    pub fn finish(&self, reply: Reply) {
        let mut content = self.lock();
        content.end.get_or_insert(reply);
        drop(content);
        self.wake();
    }

    /// Number of tokens so far.
    pub fn tokens(&self) -> Tokens {
        self.lock().tokens
    }

    /// The whole text so far.
    pub fn text(&self) -> String {
        self.lock().text.clone()
    }

    /// Starts reading after `position`, or from the beginning where that is of another run.
    pub fn read_from(&self, position: Position) -> Reader {
        let changed = self.shared.changed.subscribe();
        Reader { output: self.clone(), position, ended: false, changed }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.shared.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

/// A reader of a tape.
#[derive(Debug)]
pub struct Reader {
    output: Output,
    position: Position,
    ended: bool,
    changed: watch::Receiver<u64>,
}

impl Reader {
    /// Returns the next frame, or `None` after the last.
    pub async fn next(&mut self) -> Option<Reply> {
        loop {
            if self.ended {
                return None;
            }
            self.changed.mark_unchanged();
            if let Some(reply) = self.take() {
                return Some(reply);
            }
            self.changed.changed().await.ok()?;
        }
    }

    fn take(&mut self) -> Option<Reply> {
        let content = self.output.lock();
        if self.position.offset > 0 && self.position.run != content.run {
            let known = !content.text.is_empty() || content.end.is_some();
            return known.then(|| {
                self.position = Position::default();
                Reply::Restart
            });
        }
        let offset = self.position.offset;
        if let Some(text) = content.text.get(offset as usize..).filter(|text| !text.is_empty()) {
            let reply = Reply::Text { run: content.run, offset, text: text.to_owned() };
            let read = content.text.len() as u64;
            self.position = Position { run: content.run, offset: read };
            return Some(reply);
        }
        let end = content.end.clone()?;
        self.ended = true;
        Some(end)
    }
}
