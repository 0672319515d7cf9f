//! Putting an answer together and checking that it is the right one.

use foxledge_core::names::ServiceName;
use foxledge_wire::flow::Packet;

use crate::backend::content::AnswerBody;

/// `AnswerFault` is what is wrong with a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Its content is another request's, or damaged.
    Crossed,
    /// It comes from another service.
    WrongService,
}

/// Reads a part and checks it against the datagram around it.
pub fn read_part(
    packet: &Packet,
    service: Option<&ServiceName>,
) -> Result<AnswerBody, AnswerFault> {
    let body = AnswerBody::decode(&packet.payload).ok_or(AnswerFault::Crossed)?;
    let fits = body.flow == packet.flow
        && body.request == packet.request
        && body.part == packet.part
        && body.parts == packet.parts;
    if !fits {
        return Err(AnswerFault::Crossed);
    }
    match service {
        Some(service) if service.as_str() != body.service => Err(AnswerFault::WrongService),
        _ => Ok(body),
    }
}

/// `AnswerStore` collects the parts of one answer.
#[derive(Default)]
pub struct AnswerStore {
    received: Vec<bool>,
}

impl AnswerStore {
    /// Takes in one checked part.
    pub fn store(&mut self, body: &AnswerBody) -> Result<(), AnswerFault> {
        if self.received.is_empty() {
            self.received = vec![false; body.parts as usize];
        }
        if self.received.len() != body.parts as usize {
            return Err(AnswerFault::Crossed);
        }
        self.received[body.part as usize] = true;
        Ok(())
    }

    /// True when every part is here.
    pub fn is_whole(&self) -> bool {
        !self.received.is_empty() && self.received.iter().all(|received| *received)
    }

    /// Numbers of the missing parts; none before the first part has come.
    pub fn missing(&self) -> Vec<u32> {
        let numbered = (0u32..).zip(&self.received);
        numbered.filter(|(_, received)| !**received).map(|(number, _)| number).collect()
    }
}
