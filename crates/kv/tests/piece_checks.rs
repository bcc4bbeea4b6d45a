//! Altered records and receipts are not accepted.

use ident::{Name, Secret};
use kv::{
    ConfirmError, ExportPiece, PIECE_BYTES, PieceKey, Receipt, ReceiptWire, Record, RecordWire,
    Scope, check_import, piece_keys, seal, sealable_prefix, usable_prefix,
};

fn secret() -> Secret {
    Secret::derive("kv test", b"material")
}

fn sample() -> (Vec<PieceKey>, Vec<Record>) {
    let name = |t| Name::new(t).unwrap();
    let scope = Scope {
        org: name("o"),
        team: name("t"),
        model: name("m"),
        weights: name("v1"),
        adapter: None,
    };
    let text: Vec<u8> = (0..4 * PIECE_BYTES).map(|i| (i / 100) as u8).collect();
    let keys = piece_keys(&secret(), &scope, &text);
    let mut parent = None;
    let records = keys.iter().enumerate().map(|(i, &key)| {
        let receipt = Receipt { key, generation: 5 + i as u64, len: 4096, sum: 77 };
        let record = seal(&secret(), receipt, parent);
        parent = Some(key);
        record
    });
    let records = records.collect();
    (keys, records)
}

/// Flips one bit of one field.
fn mutate(record: &mut Record, field: u8, bit: u8) {
    let r = &mut record.receipt;
    match field % 6 {
        0 => r.key.0.0[usize::from(bit) % 16] ^= 1 << (bit / 16 % 8),
        1 => r.generation ^= 1 << (bit % 64),
        2 => r.len ^= 1 << (bit % 64),
        3 => r.sum ^= 1 << (bit % 64),
        4 => record.mac.0[usize::from(bit) % 16] ^= 1 << (bit / 16 % 8),
        _ => match &mut record.parent {
            Some(p) => p.0.0[usize::from(bit) % 16] ^= 1 << (bit / 16 % 8),
            None => record.parent = Some(r.key),
        },
    }
}

#[test]
fn usable_stops_at_an_altered_record() {
    let (keys, records) = sample();
    assert_eq!(usable_prefix(&secret(), &keys, &records), 4);
    assert_eq!(usable_prefix(&Secret::derive("other", b""), &keys, &records), 0);
    bolero::check!().with_iterations(4_000).with_type::<(u8, u8, u8)>().for_each(
        |&(at, field, bit)| {
            let mut bad = records.clone();
            let at = usize::from(at) % 4;
            mutate(&mut bad[at], field, bit);
            assert_eq!(usable_prefix(&secret(), &keys, &bad), at);
        },
    );
}

#[test]
fn usable_stops_at_a_record_of_another_position() {
    let (keys, records) = sample();
    let swapped = [records[0], records[2], records[1]];
    assert_eq!(usable_prefix(&secret(), &keys, &swapped), 1);
    assert_eq!(usable_prefix(&secret(), &keys[1..], &records[1..]), 0);
    assert_eq!(usable_prefix(&secret(), &keys[..2], &records), 2);
}

#[test]
fn altered_receipts_are_refused() {
    let (_, records) = sample();
    let receipts: Vec<_> = records.iter().map(|r| r.receipt).collect();
    assert_eq!(check_import(&records, &receipts), Ok(()));
    assert_eq!(check_import(&[], &[]), Err(ConfirmError::Empty));
    let short = check_import(&records, &receipts[..3]);
    assert_eq!(short, Err(ConfirmError::Count { want: 4, got: 3 }));
    bolero::check!().with_iterations(4_000).with_type::<(u8, u8, u8)>().for_each(
        |&(at, field, bit)| {
            let index = usize::from(at) % 4;
            let mut bad = records.clone();
            mutate(&mut bad[index], field % 4, bit);
            let bad: Vec<_> = bad.iter().map(|r| r.receipt).collect();
            assert_eq!(check_import(&records, &bad), Err(ConfirmError::Mismatch { index }));
        },
    );
}

#[test]
fn only_pieces_that_were_written_as_requested_are_sealed() {
    let (_, records) = sample();
    let receipts: Vec<_> = records.iter().map(|r| r.receipt).collect();
    let sent: Vec<_> = (0..4)
        .map(|i| ExportPiece { index: i as u32, key: receipts[i].key, generation: 5 + i as u64 })
        .collect();
    assert_eq!(sealable_prefix(&sent, &receipts), receipts);
    let mut bad = receipts.clone();
    bad[2].generation = 0;
    assert_eq!(sealable_prefix(&sent, &bad), &receipts[..2]);
    bad[0].len = 0;
    assert!(sealable_prefix(&sent, &bad).is_empty());
}

#[test]
fn wire_forms_round_trip() {
    let (_, records) = sample();
    for record in &records {
        let wire = serde_json::to_string(&RecordWire::from(*record)).unwrap();
        let back: RecordWire = serde_json::from_str(&wire).unwrap();
        assert_eq!(Record::try_from(back).unwrap(), *record);
    }
    let wire = ReceiptWire::from(records[0].receipt);
    assert_eq!(wire.sum, "000000000000004d");
    for sum in ["4d", "+00000000000004d", "zz0000000000004d"] {
        assert!(Receipt::try_from(ReceiptWire { sum: sum.into(), ..wire.clone() }).is_err());
    }
}
