package settings

import (
	"errors"
	"os"
	"sort"
	"strings"

	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/rawbytes"
	"github.com/knadh/koanf/v2"
	"github.com/magpielug/magpielug/internal/resultcode"
	yamlv3 "go.yaml.in/yaml/v3"
)

const keyDelimiter = "."

// Override sets one key from a command-line flag and takes precedence over the
// file. Value has the syntax of a YAML value.
type Override struct {
	Key   string
	Value string
	// OnlyIfMissing applies the override only if neither the file nor an earlier
	// override sets the key.
	OnlyIfMissing bool
}

// Load reads the file at path (none if path is empty), applies overrides and
// validates every key. Errors are a *resultcode.Error with code InvalidSettings
// and a single-line message that names the first invalid key.
func Load(path string, overrides []Override) (Settings, error) {
	var content []byte
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, invalidf("settings file: %v", err)
		}
		content = read
	}
	return Parse(content, overrides)
}

// Parse is like Load, with the file's content instead of its path.
func Parse(content []byte, overrides []Override) (Settings, error) {
	tree, err := parseTree(content, "YAML", yaml.Parser(), overrides)
	if err != nil {
		return Settings{}, err
	}
	loaded, err := decode(tree, Defaults())
	if err != nil {
		return Settings{}, err
	}
	return loaded, validate(loaded)
}

// parseTree parses a file's content with parser and applies overrides. format is
// the name of the file format for errors.
func parseTree(content []byte, format string, parser koanf.Parser, overrides []Override) (*koanf.Koanf, error) {
	tree := koanf.New(keyDelimiter)
	err := tree.Load(rawbytes.Provider(content), parser)
	if err != nil {
		return nil, invalidf("settings file is not %s: %s", format, singleLine(err))
	}
	return tree, applyOverrides(tree, overrides)
}

func applyOverrides(tree *koanf.Koanf, overrides []Override) error {
	for _, override := range overrides {
		if override.OnlyIfMissing && tree.Exists(override.Key) {
			continue
		}
		var value any
		err := yamlv3.Unmarshal([]byte(override.Value), &value)
		if err != nil {
			return invalidf("%s: %q is not a YAML value: %s", override.Key, override.Value, singleLine(err))
		}
		if value == nil {
			value = override.Value
		}
		err = tree.Set(override.Key, value)
		if err != nil {
			return invalidf("%s: %s", override.Key, singleLine(err))
		}
	}
	return nil
}

// decode returns defaults overwritten by the keys of tree. It rejects unknown
// keys and values of the wrong type.
func decode[Loaded any](tree *koanf.Koanf, defaults Loaded) (Loaded, error) {
	loaded := defaults
	var metadata mapstructure.Metadata
	err := tree.UnmarshalWithConf("", &loaded, koanf.UnmarshalConf{
		Tag: keyTag,
		DecoderConfig: &mapstructure.DecoderConfig{
			DecodeHook: decodeUnit,
			Metadata:   &metadata,
			MatchName:  func(key, field string) bool { return key == field },
		},
	})
	if len(metadata.Unused) > 0 {
		sort.Strings(metadata.Unused)
		return defaults, invalidf("%s: unknown key", metadata.Unused[0])
	}
	if err != nil {
		return defaults, decodeError(err)
	}
	return loaded, nil
}

// decodeError returns an error that names the key of the first invalid value.
func decodeError(err error) error {
	var unit *unitError
	var named *mapstructure.DecodeError
	if !errors.As(err, &named) {
		return invalidf("%s", singleLine(err))
	}
	if errors.As(named, &unit) {
		return invalidf("%s: %s", named.Name(), unit.reason)
	}
	return invalidf("%s: %s", named.Name(), singleLine(named.Unwrap()))
}

func invalidf(format string, arguments ...any) error {
	return resultcode.New(resultcode.InvalidSettings, format, arguments...)
}

// singleLine returns err's text with runs of white space replaced by a space.
func singleLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
