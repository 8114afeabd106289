import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import * as fc from "fast-check";
import * as workGrowth from "../../testing/workGrowth.js";
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

const okHead = "HTTP/1.1 200 OK\r\n";
const chunkedHead = `${okHead}transfer-encoding: chunked\r\n\r\n`;

/** Repeats a text up to a number of bytes. */
const fill = (text: string, bytes: number): string => text.repeat(Math.ceil(bytes / text.length)).slice(0, bytes);

/** Responses of about the given number of bytes, whose lines the parser has to read in full. */
const longResponses: Readonly<Record<string, (bytes: number) => string>> = {
    "a line of blanks": bytes => `${okHead}a: 1\r\n${fill(" ", bytes)}\r\n\r\n`,
    "a line of tabs": bytes => `${okHead}a: 1\r\n${fill("\t", bytes)}\r\n\r\n`,
    "a line of blanks before any header": bytes => `${okHead}${fill(" ", bytes)}\r\n\r\n`,
    "a line of blanks that ends in a control character": bytes => `${okHead}a: ${fill(" ", bytes)}\u0001\r\n\r\n`,
    "blanks around a value": bytes => `${okHead}a:${fill(" ", bytes / 2)}b${fill(" ", bytes / 2)}\r\n\r\n`,
    "blanks within a value": bytes => `${okHead}a: b${fill(" ", bytes)}c\r\n\r\n`,
    "a long value": bytes => `${okHead}a: ${fill("b", bytes)}\r\n\r\n`,
    "a long name": bytes => `${okHead}${fill("a", bytes)}: b\r\n\r\n`,
    "a name without a colon": bytes => `${okHead}${fill("a", bytes)}\r\n\r\n`,
    "a line of colons": bytes => `${okHead}${fill(":", bytes)}\r\n\r\n`,
    "lines that continue a header": bytes => `${okHead}a: 1\r\n${fill(" b\r\n", bytes)}\r\n\r\n`,
    "many headers": bytes => `${okHead}${fill("a: b\r\n", bytes)}\r\n\r\n`,
    "many empty headers": bytes => `${okHead}${fill("a:\n", bytes)}\r\n\r\n`,
    "a Connection list": bytes => `${okHead}connection: ${fill("a, ", bytes)}\r\n\r\n`,
    "a reason phrase": bytes => `HTTP/1.1 200 ${fill("a ", bytes)}\r\n\r\n`,
    "blanks in the status line": bytes => `HTTP/1.1 200${fill(" ", bytes)}\r\n\r\n`,
    "a status line that is none": bytes => `HTTP/1.1${fill(" ", bytes)}\r\n\r\n`,
    "empty lines before the status line": bytes => `${fill("\r\n", bytes)}${okHead}\r\n`,
    "interim responses": bytes => fill(`HTTP/1.1 100 A\r\na: ${fill("b", bytes / 12)}\r\n\r\n`, bytes),
    "a chunk extension": bytes => `${chunkedHead}1;${fill("a=b;", bytes)}\r\na\r\n0\r\n\r\n`,
    "blanks after a chunk size": bytes => `${chunkedHead}1${fill(" ", bytes)}x\r\na\r\n0\r\n\r\n`,
    "zeros of a chunk size": bytes => `${chunkedHead}${fill("0", bytes)}1\r\na\r\n0\r\n\r\n`,
    "many chunks": bytes => `${chunkedHead}${"1\r\na\r\n".repeat(bytes / 6)}0\r\n\r\n`,
    "a line of blanks among the trailers": bytes => `${chunkedHead}0\r\na: 1\r\n${fill(" ", bytes)}\r\n\r\n`,
    "a line of tabs among the trailers": bytes => `${chunkedHead}0\r\n${fill("\t", bytes)}\r\n\r\n`,
    "many trailers": bytes => `${chunkedHead}0\r\n${fill("a: b\r\n", bytes)}\r\n\r\n`,
};

const smallBytes = 12 * 1024;
// Guards against lines of a target that keep the only thread busy for seconds, so that no request is answered meanwhile.
for (const [name, create] of Object.entries(longResponses)) {
    test.serial(`the work for ${name} grows no faster than its bytes`, t => {
        const largeBytes = workGrowth.growth * smallBytes;
        const texts = new Map([smallBytes, largeBytes].map(bytes => [bytes, create(bytes)]));
        const singleBytes = Array.from({ length: 2 * largeBytes }, () => 1);
        for (const [way, sizes] of Object.entries({ "in one piece": [], "byte by byte": singleBytes })) {
            const growth = workGrowth.measureWorkGrowth(smallBytes, bytes => void parse(texts.get(bytes) ?? "", sizes));
            t.true(growth < workGrowth.maxWorkGrowth, `${way}: ${growth.toFixed(1)} times the work`);
        }
    });
}

// Guards against a line that is held without bound, as the allowance grows with the body.
test("a line among the trailers of a large body is bounded, and trailers are not held", t => {
    const body = "a".repeat(1024 * 1024);
    const start = `${chunkedHead}${body.length.toString(16)}\r\n${body}\r\n0\r\n`;
    t.is(parse(`${start}a: ${"b".repeat(80 * 1024)}`, []).fault, "line too long");
    t.true(parse(`${start}${"a: b\r\n".repeat(10_000)}\r\n`, []).responses[0]?.isWhole);
});

// Guards against lines that the library ignores, although other recipients read them as headers.
test("a line that is no header is an error", t => {
    for (const line of ["a", ": b", "content-length : 4", " content-length: 4", "a b: c"]) {
        t.not(parse(`${okHead}a: b\r\n${line}\r\ncontent-length: 0\r\n\r\n`, []).fault, undefined, line);
        t.not(parse(`${chunkedHead}0\r\n${line}\r\n\r\n`, []).fault, undefined, line);
    }
});

// Guards against a copy that breaks off within its head: its status or statements and the id of the next response count as one head.
test("a head that breaks off in front of another response is an error, wherever it breaks off", t => {
    const response = "HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 4\r\n\r\ndone";
    for (const copy of [
        "HTTP/1.1 503 Full\r\nx-id: 1\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-seal: s\r\nx-id: 1\r\n\r\n",
    ]) {
        for (let end = 1; end < copy.length; end++) {
            t.not(parse(copy.slice(0, end) + response, []).fault, undefined, copy.slice(0, end));
        }
    }
});

// Guards against a status of which the library reads the first three digits only: 2000 was a success, and 1000 an interim response.
test("a status that is not of three digits is an error", t => {
    for (const status of ["0200", "1000", "2000", "200OK", "20", "-1", "2 0", ""]) {
        t.not(parse(`HTTP/1.1 ${status} OK\r\ncontent-length: 0\r\n\r\n`, []).fault, undefined, status);
        t.not(parse(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\n\r\n`, []).fault, undefined, status);
    }
    t.true(parse("HTTP/1.1 200\r\ncontent-length: 0\r\n\r\n", []).responses[0]?.isWhole);
});
