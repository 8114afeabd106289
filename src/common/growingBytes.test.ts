import test from "ava";
import * as fc from "fast-check";
import * as growingBytes from "./growingBytes.js";

// Guards against bytes that are lost or changed where a block ends, or when fewer or more come than expected.
test("pieces of any sizes are returned as they came, whatever number of bytes was expected", t => {
    const pieces = fc.array(fc.uint8Array({ maxLength: 5_000 }), { maxLength: 40 });
    const expected = fc.option(fc.nat(100_000), { nil: undefined });
    fc.assert(
        fc.property(pieces, expected, (parts, expectedBytes) => {
            const bytes = growingBytes.createGrowingBytes(expectedBytes);
            const whole = Buffer.concat(parts);
            parts.forEach(part => bytes.add(Buffer.from(part)));
            return bytes.count() === whole.length && bytes.take().equals(whole) && bytes.count() === 0;
        }),
    );
    t.pass();
});

// Guards against a body that takes its size twice at its end although its length was announced.
test("bytes of a known number are held in one block and not copied at the end", t => {
    const bytes = growingBytes.createGrowingBytes(5_000);
    bytes.add(Buffer.alloc(3_000));
    bytes.add(Buffer.alloc(2_000));
    t.is(bytes.take().buffer.byteLength, 5_000);
});
