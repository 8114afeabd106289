/**
 * Measures costs that do not depend on a size: a log line and a bare Node.js process.
 */
import * as childProcess from "node:child_process";
import * as util from "node:util";
import * as logSinks from "../../node/logging/logSink.js";
import * as processorTime from "./processorTime.js";
import * as slopes from "./slopes.js";
import * as types from "./Types.js";

const linesPerBatch = 100;
const rounds = 3;
const script = "globalThis.gc(); process.stdout.write(String(process.memoryUsage().rss));";

const measureLogLine = (): readonly types.Figure[] => {
    let bytes = 0;
    let lines = 0;
    const sink = logSinks.createLogSink({ level: "info", format: "text", write: text => void (bytes += text.length) });
    const logger = sink.logger;
    const fields = {
        call: "0b0f3c8e-5f3a-4f1c-9c55-5a53c1f2b7aa",
        service: "service-1",
        target: "service-1-1",
        zone: "zone-1",
        inFlight: 2,
        limit: 4,
    };
    const cpuMs = processorTime.measureCpuMs(() => {
        for (let line = 0; line < linesPerBatch; line++) {
            logger.info("local", fields);
        }
        lines += linesPerBatch;
        sink.flush();
    });
    sink.dispose();
    return [
        { name: "log line: CPU without the output", unit: "us", value: (cpuMs * 1000) / linesPerBatch },
        { name: "log line: length", unit: "bytes", value: bytes / lines },
    ];
};

const measureBareProcess = async (): Promise<types.Figure> => {
    const execFile = util.promisify(childProcess.execFile);
    const values: number[] = [];
    for (let round = 0; round < rounds; round++) {
        const { stdout } = await execFile(process.execPath, ["--expose-gc", "-e", script]);
        values.push(Number(stdout));
    }
    return { name: "bare Node.js process: resident", unit: "bytes", value: slopes.computeMedian(values) };
};

/**
 * Measures a log line as the dispatcher writes it for a call, and a Node.js process that loads no modules.
 *
 * @returns figures only, no series
 */
export const measureSmallCosts = async (): Promise<types.Measurement> => ({
    series: [],
    figures: [...measureLogLine(), await measureBareProcess()],
});
