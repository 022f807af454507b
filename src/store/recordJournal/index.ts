import { AppendFile, Disk } from "../../ports/index.js";
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
    private constructor(
        private readonly disk: Disk,
        private readonly folder: string,
        private file: AppendFile,
        private number: number,
    ) {}

    /**
     * Reads all files of a folder and opens a new one. A torn record at the end of a file was never acknowledged and is ignored.
     *
     * @param disk - Disk that contains the folder; it must be locked by this process.
     * @param folder - Path of the folder, created if it does not exist.
     * @throws StoreError with `damaged` when synced bytes have changed.
     */
    static async open(disk: Disk, folder: string): Promise<OpenedJournal> {
        try {
            await disk.makeFolder(folder);
            const names = (await disk.list(folder)).filter(name => name.endsWith(FILE_NAME_SUFFIX));
            const files = await Promise.all(names.map(name => readBodies(disk, `${folder}/${name}`)));
            const number = 1 + Math.max(0, ...names.map(name => Number(name.slice(0, -FILE_NAME_SUFFIX.length))));
            const file = await disk.openAppend(formatPath(folder, number));
            return { journal: new RecordJournal(disk, folder, file, number), bodies: files.flat() };
        }
        catch (err) {
            throw toStoreError(err);
        }
    }

    /** Size of the current file, in bytes. */
    get size(): number {
        return this.file.size;
    }

    /**
     * Appends records and syncs them. After a failure the records may or may not be stored.
     *
     * @throws StoreError
     */
    async append(bodies: readonly Uint8Array[]): Promise<void> {
        try {
            await this.file.append(Buffer.concat(bodies.map(encodeRecord)));
            await this.file.sync();
        }
        catch (err) {
            // The next record would follow a torn one.
            await this.startFile().catch(() => undefined);
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
            await this.startFile();
            await this.append(bodies);
            const current = formatName(this.number);
            const names = await this.disk.list(this.folder);
            for (const name of names.filter(each => each < current)) await this.disk.remove(`${this.folder}/${name}`);
        }
        catch (err) {
            throw toStoreError(err);
        }
    }

    async close(): Promise<void> {
        await this.file.close();
    }

    private async startFile(): Promise<void> {
        const file = await this.disk.openAppend(formatPath(this.folder, this.number + 1));
        await this.file.close();
        this.file = file;
        this.number++;
    }
}

async function readBodies(disk: Disk, path: string): Promise<Uint8Array[]> {
    const bytes = Buffer.from(await disk.read(path) ?? []);
    const bodies: Uint8Array[] = [];
    for (let offset = 0; offset < bytes.length;) {
        const record = readRecord(bytes, offset, path);
        if (!record) break;
        bodies.push(record.body);
        offset = record.end;
    }
    return bodies;
}

function formatName(number: number): string {
    return `${String(number).padStart(FILE_NAME_DIGITS, "0")}${FILE_NAME_SUFFIX}`;
}

function formatPath(folder: string, number: number): string {
    return `${folder}/${formatName(number)}`;
}
