import { AppendFile, Disk, DiskError } from "../../ports/index.js";
import { encodeRecord, readRecord } from "../recordFrame/index.js";
import { toStoreError } from "../storeError/index.js";

/** A journal and the bodies of the records that its files contained when it was opened, oldest first. */
export interface OpenedJournal {
    readonly journal: RecordJournal;
    readonly bodies: readonly Uint8Array[];
}

const FILE_NAME_DIGITS = 10;
const FILE_NAME_SUFFIX = ".jnl";

/**
 * Files of records that may be read more than once without harm, in one folder: each file is replaced by one with the records that are still
 * needed. The caller must not write concurrently.
 *
 * @example
 * const { journal, bodies } = await RecordJournal.open(disk, "usage");
 * await journal.append([encodeValue(counts)]);
 */
export class RecordJournal {
    /** The file that is written; undefined until the first write. */
    private file: AppendFile | undefined;

    /**
     * @param number - Number of the newest file, 0 for none.
     * @param earlierBytes - Size of all files but the one that is written.
     */
    private constructor(
        private readonly disk: Disk,
        private readonly folder: string,
        private number: number,
        private earlierBytes: number,
    ) {}

    /**
     * Reads all files of a folder. A torn record at the end of a file was never acknowledged and is ignored. Nothing is written before the first
     * record, so that opening does not delay the start of a process.
     *
     * @param disk - Disk that contains the folder; it must be locked by this process.
     * @param folder - Path of the folder, created by the first write if it does not exist.
     * @throws StoreError with `damaged` when synced bytes have changed.
     */
    static async open(disk: Disk, folder: string): Promise<OpenedJournal> {
        try {
            const names = await listFiles(disk, folder);
            const files = await Promise.all(names.map(name => readFile(disk, `${folder}/${name}`)));
            const number = Math.max(0, ...names.map(name => Number(name.slice(0, -FILE_NAME_SUFFIX.length))));
            const bytes = files.reduce((sum, file) => sum + file.bytes, 0);
            const journal = new RecordJournal(disk, folder, number, bytes);
            return { journal, bodies: files.flatMap(file => file.bodies) };
        }
        catch (err) {
            throw toStoreError(err);
        }
    }

    /** Size of all files, in bytes. */
    get size(): number {
        return this.earlierBytes + (this.file?.size ?? 0);
    }

    /**
     * Appends records and syncs them. After a failure the records may or may not be stored.
     *
     * @throws StoreError
     */
    async append(bodies: readonly Uint8Array[]): Promise<void> {
        try {
            this.file ??= await this.startFile();
            await this.file.append(Buffer.concat(bodies.map(encodeRecord)));
            await this.file.sync();
        }
        catch (err) {
            // In this file, the next record would follow a torn one.
            await this.endFile();
            throw toStoreError(err);
        }
    }

    /**
     * Replaces all records. After a failure or a power cut, either all earlier records or all of these are stored, or both.
     *
     * @throws StoreError
     */
    async replaceAll(bodies: readonly Uint8Array[]): Promise<void> {
        try {
            await this.endFile();
            await this.append(bodies);
            const current = formatName(this.number);
            const names = await listFiles(this.disk, this.folder);
            for (const name of names.filter(each => each < current)) await this.disk.remove(`${this.folder}/${name}`);
            this.earlierBytes = 0;
        }
        catch (err) {
            throw toStoreError(err);
        }
    }

    async close(): Promise<void> {
        await this.endFile();
    }

    private async startFile(): Promise<AppendFile> {
        if (this.number === 0) await this.disk.makeFolder(this.folder);
        return this.disk.openAppend(formatPath(this.folder, ++this.number));
    }

    /** Ends the current file; the next write starts another one. */
    private async endFile(): Promise<void> {
        const { file } = this;
        this.earlierBytes = this.size;
        this.file = undefined;
        await file?.close().catch(() => undefined);
    }
}

/** Returns the names of a journal's files, oldest first. */
async function listFiles(disk: Disk, folder: string): Promise<string[]> {
    try {
        return (await disk.list(folder)).filter(name => name.endsWith(FILE_NAME_SUFFIX)).sort();
    }
    catch (err) {
        if (err instanceof DiskError && err.reason === "missing") return [];
        throw err;
    }
}

async function readFile(disk: Disk, path: string): Promise<{ bytes: number; bodies: Uint8Array[]; }> {
    const bytes = Buffer.from(await disk.read(path) ?? []);
    const bodies: Uint8Array[] = [];
    for (let offset = 0; offset < bytes.length;) {
        const record = readRecord(bytes, offset, path);
        if (!record) break;
        bodies.push(record.body);
        offset = record.end;
    }
    return { bytes: bytes.length, bodies };
}

function formatName(number: number): string {
    return `${String(number).padStart(FILE_NAME_DIGITS, "0")}${FILE_NAME_SUFFIX}`;
}

function formatPath(folder: string, number: number): string {
    return `${folder}/${formatName(number)}`;
}
