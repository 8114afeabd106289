import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import * as fc from "fast-check";
import * as responseParser from "./responseParser.js";

const seed = 1803;
const runs = 400;

interface Parsed {
    readonly statusCode: number;
    body: string;
    isWhole: boolean;
}

/** Parses a text in pieces of the given sizes. */
const parse = (text: string, sizes: readonly number[]): { readonly responses: readonly Parsed[]; fault?: string } => {
    const responses: Parsed[] = [];
    const parser = responseParser.createResponseParser({
        handleInterim: () => undefined,
        handleHead: head => void responses.push({ statusCode: head.statusCode, body: "", isWhole: false }),
        handleBody: chunk => {
            const last = responses.at(-1);
            if (last !== undefined) {
                last.body += chunk.toString("latin1");
            }
        },
        handleEnd: () => {
            const last = responses.at(-1);
            if (last !== undefined) {
                last.isWhole = true;
            }
        },
    });
    parser.startRequest("GET");
    const bytes = Buffer.from(text, "latin1");
    let at = 0;
    for (const size of [...sizes, bytes.length]) {
        if (at >= bytes.length) {
            break;
        }
        const fault = parser.parse(bytes.subarray(at, at + size));
        at += size;
        if (fault !== undefined) {
            return { responses, fault };
        }
    }
    return { responses };
};

const formatChunked = (chunks: readonly string[]): string =>
    `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunks
        .filter(chunk => chunk !== "")
        .map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`)
        .join("")}0\r\n\r\n`;

const sizes = fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 60 });
const chunks = fc.array(fc.string({ maxLength: 30 }), { maxLength: 6 });

test("however the bytes are split, a response is parsed in the same way", t => {
    fc.assert(
        fc.property(chunks, sizes, (parts, split) => {
            const { responses, fault } = parse(formatChunked(parts), split);
            t.is(fault, undefined);
            t.deepEqual(responses, [{ statusCode: 200, body: parts.join(""), isWhole: true }]);
        }),
        { seed, numRuns: runs },
    );
});

test("no proper part of a response is taken for a whole one", t => {
    fc.assert(
        fc.property(chunks, fc.double({ min: 0, max: 0.999, noNaN: true }), (parts, share) => {
            const text = formatChunked(parts);
            const { responses } = parse(text.slice(0, Math.floor(text.length * share)), []);
            t.false(responses.some(response => response.isWhole));
        }),
        { seed, numRuns: runs },
    );
});

test("a response in which one character was replaced is refused, or has a body of the same length", t => {
    const text = formatChunked(["first chunk", "second"]);
    const bodyLength = "first chunksecond".length;
    const framing = [...text].flatMap((_, index) => (index > text.indexOf("\r\n\r\n") + 3 ? [index] : []));
    fc.assert(
        fc.property(fc.constantFrom(...framing), fc.constantFrom(..."z-;\r\n 9"), (index, replaced) => {
            const changed = `${text.slice(0, index)}${replaced}${text.slice(index + 1)}`;
            const { responses } = parse(changed, []);
            const whole = responses.filter(response => response.isWhole);
            t.true(whole.every(response => response.body.length === bodyLength));
        }),
        { seed, numRuns: runs },
    );
});

test("random bytes are never taken for a response", t => {
    fc.assert(
        fc.property(fc.string({ unit: "binary", maxLength: 200 }), sizes, (text, split) => {
            t.false(parse(text, split).responses.some(response => response.isWhole));
        }),
        { seed, numRuns: runs },
    );
});

// Guards against a head that is accepted from a target and cannot be written to the client.
test("each head that is accepted can be written to a client", t => {
    const bytes = fc.uint8Array({ maxLength: 2 }).map(values => Buffer.from(values).toString("latin1"));
    const status = fc.integer({ min: 0, max: 999 }).map(code => String(code).padStart(3, "0"));
    let accepted = 0;
    const handleHead = ({ statusCode, headers }: responseParser.ParsedHead): void => {
        accepted++;
        t.notThrows(() => {
            const response = new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
            response.writeHead(statusCode, headers);
        });
    };
    fc.assert(
        fc.property(status, bytes, bytes, (code, name, value) => {
            const parser = responseParser.createResponseParser({
                handleInterim: () => undefined,
                handleHead,
                handleBody: () => undefined,
                handleEnd: () => undefined,
            });
            parser.startRequest("GET");
            parser.parse(Buffer.from(`HTTP/1.1 ${code} A\r\nx${name}: ${value}\r\nx: ${value}\r\n\r\n`, "latin1"));
        }),
        { seed, numRuns: 20 * runs },
    );
    t.true(accepted > runs);
});

test("responses without a body end with their head", t => {
    const { responses } = parse("HTTP/1.1 304 Not Modified\r\ncontent-length: 10\r\n\r\n", []);
    t.deepEqual(responses, [{ statusCode: 304, body: "", isWhole: true }]);
});
