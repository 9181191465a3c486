package commands

import (
	"time"

	"siskincove/platform"
	"siskincove/platform/aws"
	"siskincove/platform/dynamo"
	"siskincove/platform/s3"
)

const platformTimeout = 15 * time.Second

// PlatformFlags say where the platform is, for commands that read or publish.
type PlatformFlags struct {
	URL    string `help:"Base address of the platform's table and object protocols." env:"SISKINCOVE_PLATFORM_URL" required:""`
	Region string `help:"Region of the platform." env:"SISKINCOVE_PLATFORM_REGION" default:"local"`
	Table  string `help:"Name of the table." env:"SISKINCOVE_PLATFORM_TABLE" default:"siskincove"`
	Bucket string `help:"Name of the bucket." env:"SISKINCOVE_PLATFORM_BUCKET" default:"siskincove"`
	Key    string `help:"Access key." env:"SISKINCOVE_PLATFORM_KEY" required:""`
	Secret string `help:"Secret of the access key, best given by the environment." env:"SISKINCOVE_PLATFORM_SECRET" required:""`
}

func (f *PlatformFlags) table() platform.Table {
	return dynamo.New(aws.Table(f.options(), aws.HTTPClient()), f.Table)
}

func (f *PlatformFlags) objects() platform.Objects {
	return s3.New(aws.Objects(f.options(), aws.HTTPClient()), f.Bucket)
}

func (f *PlatformFlags) options() aws.Options {
	return aws.Options{URL: f.URL, Region: f.Region, Key: f.Key, Secret: f.Secret}
}
