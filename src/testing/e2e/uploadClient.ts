/**
 * A client that uploads, and tells whether the response looks whole to it.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";

const chunkBytes = 50_000;

export interface UploadOutcome {
    /** 0 if the connection ended without a head. */
    readonly status: number;
    /** Whether a client takes the response for a whole one. */
    readonly looksWhole: boolean;
}

export interface Upload {
    /** `ip:port` */
    readonly address: string;
    /** Request line and headers without those that delimit the body, and without a line break at the end. */
    readonly head: string;
    readonly bytes: number;
    readonly isChunked: boolean;
    /** Called with the first bytes of the response; the client reads on when the promise resolves. */
    handleFirstBytes?(): Promise<void>;
}

const formatUpload = ({ head, bytes, isChunked }: Upload): string => {
    const start = `${head}\r\nConnection: close\r\n`;
    if (!isChunked) {
        return `${start}Content-Length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`;
    }
    const chunk = `${chunkBytes.toString(16)}\r\n${"x".repeat(chunkBytes)}\r\n`;
    return `${start}Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(bytes / chunkBytes)}0\r\n\r\n`;
};

const readOutcome = (text: string, wasReset: boolean): UploadOutcome => {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: 0, looksWhole: false };
    }
    const head = text.slice(0, headEnd + 2);
    const body = text.slice(headEnd + 4);
    const length = /\r\ncontent-length: (\d+)\r\n/i.exec(head)?.[1];
    const isChunked = /\r\ntransfer-encoding: chunked\r\n/i.test(head);
    const isEnded = isChunked ? body.endsWith("0\r\n\r\n") : !wasReset;
    return {
        status: Number(head.split(" ")[1]),
        looksWhole: length === undefined ? isEnded : body.length >= Number(length),
    };
};

/**
 * Uploads on a new connection, and reads until that has ended.
 *
 * @param upload - the request, and how the client reads
 * @returns what the client received
 */
export const sendUpload = (upload: Upload): Promise<UploadOutcome> =>
    new Promise((resolve, reject) => {
        const socket = net.connect(ids.splitAddress(upload.address));
        let text = "";
        let wasReset = false;
        socket.once("data", () => {
            if (upload.handleFirstBytes !== undefined) {
                socket.pause();
                upload.handleFirstBytes().then(() => socket.resume(), reject);
            }
        });
        socket.on("data", (chunk: Buffer) => (text += chunk.toString("latin1")));
        socket.on("error", () => (wasReset = true));
        // A reset that arrives together with data fires only "end"; the connection then has no remote address any more.
        socket.on("end", () => (wasReset ||= socket.remoteAddress === undefined));
        socket.on("close", () => resolve(readOutcome(text, wasReset)));
        socket.write(formatUpload(upload), "latin1");
    });
