//! Late, duplicate and missing events, and events of another request, must not reach a caller as
//! part of its answer.

use entry::{CatchUp, Delivery, Sequence, StreamPosition, Verdict};
use ident::{Name, RequestId};
use outbound::{FinishReason, Token};

const OWN: RequestId = RequestId(7);
const OTHER: RequestId = RequestId(8);
/// Number of random event sequences tried.
const ITERATIONS: usize = 2000;

fn token(request: RequestId, offset: u64, text: &str, last: bool) -> Token {
    Token {
        request,
        offset,
        text: text.into(),
        finish: last.then_some(FinishReason::Stop),
        weights: Some(Name::new("v1").unwrap()),
        usage: None,
    }
}

fn answer(texts: &[&str]) -> Vec<Token> {
    let last = texts.len() - 1;
    texts.iter().enumerate().map(|(i, t)| token(OWN, i as u64, t, i == last)).collect()
}

/// Returns the text that a caller has after a generation, given the tokens it had before.
fn deliver(held: &[&str], generation: &[Token]) -> String {
    let position = held.iter().fold(StreamPosition::default(), |m, t| m.advance(t));
    let mut catch_up = CatchUp::restarted(position);
    let mut text = held.concat();
    for token in generation {
        match catch_up.accept(token.clone()) {
            Delivery::Skip | Delivery::Complete => {}
            Delivery::Token(t, _) => text.push_str(&t.text),
            Delivery::Restart(tokens) => {
                text = tokens.iter().map(|(t, _)| &*t.text).collect();
            }
        }
    }
    text
}

#[test]
fn other_requests_and_weights_are_dropped() {
    let mut seq = Sequence::new(OWN, Name::new("v1").unwrap(), 0);
    assert_eq!(seq.check(&token(OTHER, 0, "x", false)), Verdict::WrongRequest);
    let other_version =
        Token { weights: Some(Name::new("v2").unwrap()), ..token(OWN, 0, "x", false) };
    assert_eq!(seq.check(&other_version), Verdict::WrongWeights(other_version.weights.clone()));
    let unstated = Token { weights: None, ..token(OWN, 0, "x", false) };
    assert_eq!(seq.check(&unstated), Verdict::WrongWeights(None));
    assert_eq!(seq.check(&token(OWN, 1, "x", false)), Verdict::Gap);
    assert_eq!(seq.check(&token(OWN, 0, "x", false)), Verdict::Accept);
    assert_eq!(seq.check(&token(OWN, 0, "x", false)), Verdict::Duplicate);
    assert_eq!(seq.next_offset(), 1);
}

#[test]
fn accepted_tokens_are_a_prefix_in_any_event_order() {
    bolero::check!().with_iterations(ITERATIONS).with_type::<Vec<(bool, u8)>>().for_each(
        |events| {
            let mut seq = Sequence::new(OWN, Name::new("v1").unwrap(), 0);
            let mut taken = Vec::new();
            for &(own, offset) in events {
                let request = if own { OWN } else { OTHER };
                let event = token(request, u64::from(offset % 8), "t", false);
                if seq.check(&event) == Verdict::Accept {
                    taken.push(event);
                }
            }
            for (i, event) in taken.iter().enumerate() {
                assert_eq!((event.request, event.offset), (OWN, i as u64));
            }
        },
    );
}

#[test]
fn equal_generation_continues_at_the_callers_position() {
    let all = answer(&["a", "b", "c", "d"]);
    for held in 0..=4 {
        assert_eq!(deliver(&["a", "b", "c", "d"][..held], &all), "abcd");
    }
}

#[test]
fn different_generation_restarts_the_answer() {
    assert_eq!(deliver(&["a", "x"], &answer(&["a", "b", "c"])), "abc");
    // The generation is shorter than what the caller has.
    assert_eq!(deliver(&["a", "b", "c", "d"], &answer(&["a", "b"])), "ab");
    // The text is equal, but its tokens are split differently.
    assert_eq!(deliver(&["ab", "c"], &answer(&["a", "bc", "d"])), "abcd");
}
